import { expect } from "chai";
import { topics } from "../../platform/names.js";
import { buildRoutingConfig, Fleet, sleep } from "./fleet.js";
import type { CutKind, CutOutcome, ServedCount } from "./targetCut.js";
import { countServed, findCoordinator, playCut, sendFirstTries } from "./targetCut.js";

const hostCount = 8;
const cutMs = 9_000;
const calmMs = 2_000;

/** After the cut, and after its end, everything is served again within this time. */
const healMs = 2_000;

interface Case {
    how: CutKind;
    cutCount: number;
    withCoordinator: boolean;
}

const cases: readonly Case[] = [
    { how: "hang", cutCount: 2, withCoordinator: true },
    { how: "reset", cutCount: 2, withCoordinator: true },
    { how: "hang", cutCount: 2, withCoordinator: false },
    { how: "reset", cutCount: 2, withCoordinator: false },
    { how: "hang", cutCount: 7, withCoordinator: true },
    { how: "refuse-new", cutCount: 2, withCoordinator: true },
];

/** The platform's rule allows that 10 and 1 in 50 of all first tries fail. */
function isServed({ tries, served }: ServedCount): boolean {
    return tries > 0 && tries - served <= 10 + tries / 50;
}

/** Expects that first tries are served at each of the named places as the rule asks. */
function expectServed(counts: Record<string, ServedCount>): void {
    const missed = Object.entries(counts).filter(([, count]) => !isServed(count));
    expect(missed.map(([where, { tries, served, failures }]) => `${where}: ${String(served)} of ${String(tries)}, ${JSON.stringify(failures)}`))
        .to.deep.equal([]);
}

describe("hosts that are cut off from all targets", function () {
    this.timeout(60_000);
    let fleet: Fleet;

    before(async () => {
        fleet = await Fleet.start(0, 4, 3, false);
        fleet.store.put(topics.configuration, "config", buildRoutingConfig(1));
        for (let index = 0; index < hostCount; index++) {
            await fleet.startHost(`h${String(index)}`, undefined, { isCuttable: true });
        }
        await fleet.waitUntilServing();
    });

    after(async () => {
        await fleet.stop();
    });

    it("are not needed to serve a calm fleet", async () => {
        const answers = await sendFirstTries(fleet.hosts, calmMs, "calm");
        expectServed({ calm: countServed(answers, fleet.hosts) });
    });

    for (const { how, cutCount, withCoordinator } of cases) {
        const title = `${how}, ${String(cutCount)} of ${String(hostCount)}, ${withCoordinator ? "with" : "without"} the coordinator`;

        describe(title, () => {
            let outcome: CutOutcome;
            let healed: ServedCount;

            before(async () => {
                const coordinator = await findCoordinator(fleet.hosts);
                const followers = fleet.hosts.filter((host) => host !== coordinator);
                const cutHosts = (withCoordinator ? [coordinator, ...followers] : followers).slice(0, cutCount);
                const prefix = `${how}-${String(cutCount)}-${String(withCoordinator)}`;
                outcome = await playCut(fleet, cutHosts, how, cutMs, prefix);
                await sleep(healMs);
                healed = countServed(await sendFirstTries(fleet.hosts, calmMs, `${prefix}-healed`), fleet.hosts);
            });

            it("serve their own clients", () => {
                expectServed({ cut: outcome.cut });
            });

            it("leave the clients of other hosts as they were", () => {
                expectServed({ others: outcome.others });
            });

            it("serve everything after the cut", () => {
                expectServed({ healed });
            });
        });
    }
});
