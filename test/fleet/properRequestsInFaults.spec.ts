import { expect } from "chai";
import { topics } from "../../platform/names.js";
import { noStoreFaults } from "../../platform/standins/storeStandIn.js";
import { FaultProxy } from "../soak/faultProxy.js";
import { SeededRandom } from "../support/seededRandom.js";
import type { FleetHost } from "./fleet.js";
import { buildRoutingConfig, sleep } from "./fleet.js";
import { ProperRequestPlay } from "./properRequestPlay.js";

const hostCount = 3;
const playMs = 10_000;
const configPeriodMs = 900;

/** Statuses that promise that the request did not run, and do not blame it. */
const promisingStatuses = [408, 421, 429];

function isBlame(status: number): boolean {
    return status >= 300 && status < 500 && !promisingStatuses.includes(status);
}

// The routes of these requests are in every configuration, so that no host, in touch with the others or not, may deny them.
describe("proper requests while servers crash, configurations change", function () {
    this.timeout(90_000);
    let play: ProperRequestPlay;
    let version = 1;
    const proxies: FaultProxy[] = [];

    beforeEach(async () => {
        play = await ProperRequestPlay.start(isBlame);
        version = 1;
        for (let index = 0; index < hostCount; index++) {
            await startHost(`h${String(index)}`);
        }
        await play.fleet.waitUntilServing();
    });

    afterEach(async () => {
        play.fleet.hosts.forEach(({ child }) => child.kill("SIGCONT"));
        proxies.splice(0).forEach((proxy) => {
            proxy.stop();
        });
        await play.stop();
    });

    /** Starts a host whose way to the store goes through a proxy of its own. */
    async function startHost(name: string, mode: "pass" | "silent" = "pass"): Promise<{ host: FleetHost; proxy: FaultProxy }> {
        const proxy = await FaultProxy.start();
        proxy.upstreamAddress = play.fleet.store.address;
        proxy.setMode({ kind: mode });
        proxies.push(proxy);
        return { host: await play.fleet.startHost(name, proxy.address), proxy };
    }

    function publishNext(): void {
        version += 1;
        const extraPrefix = `/extra-${String(version)}/`;
        play.fleet.store.put(topics.configuration, "config", buildRoutingConfig(version, version % 3 === 0 ? {} : { extraPrefix }));
    }

    /** Plays requests at all hosts while `disturb` runs, and checks that none was blamed. */
    async function playWith(seed: number, disturb: (random: SeededRandom) => Promise<void>): Promise<void> {
        const playing = play.fleet.hosts.map((host, index) => play.playAt(host, seed + 8 * index, playMs));
        const timer = setInterval(publishNext, configPeriodMs);
        await disturb(new SeededRandom(seed));
        await Promise.all(playing);
        clearInterval(timer);
        const counts = JSON.stringify(play.countByStatus);
        expect(play.blamed, counts).to.deep.equal([]);
        expect(play.servers.crashes.length, "crashes").to.be.above(3);
        expect(play.countByStatus[200] ?? 0, counts).to.be.above(200);
        expect(play.smuggledPaths()).to.deep.equal([]);
    }

    it("and servers state rate limits are not blamed", () => playWith(4_101, async (random) => {
        for (let step = 0; step < 20; step++) {
            play.servers.all.forEach((server) => {
                server.statedLimit = random.chance(0.5) ? String(random.integerUpTo(40) / 10) : random.chance(0.1) ? "none" : undefined;
            });
            await sleep(playMs / 20);
        }
    }));

    it("and the store comes back from an older copy are not blamed", () => playWith(4_201, async (random) => {
        for (let returns = 0; returns < 2; returns++) {
            const copy = play.fleet.store.takeCopy();
            await sleep(1_000 + random.integerUpTo(2_000));
            play.fleet.store.faults = { ...noStoreFaults, silent: true };
            await sleep(300 + random.integerUpTo(1_000));
            play.fleet.store.returnFrom(copy);
            play.fleet.store.faults = noStoreFaults;
            publishNext();
            await sleep(500);
        }
    }));

    it("and hosts are frozen or reach neither the store nor other hosts are not blamed", () => playWith(4_301, async (random) => {
        for (const [index, host] of [...play.fleet.hosts].entries()) {
            const others = play.fleet.hosts.filter((other) => other !== host);
            proxies[index]!.setMode({ kind: "silent" });
            others.forEach(({ child }) => child.kill("SIGSTOP"));
            await sleep(1_500 + random.integerUpTo(1_000));
            others.forEach(({ child }) => child.kill("SIGCONT"));
            proxies[index]!.setMode({ kind: "pass" });
            await sleep(700);
        }
    }));

    it("and hosts start that cannot reach the store at first are not blamed", async () => {
        const extraPlays: Promise<void>[] = [];
        await playWith(4_401, async () => {
            for (let index = 0; index < 3; index++) {
                const { host, proxy } = await startHost(`late-${String(index)}`, "silent");
                await sleep(800);
                extraPlays.push(play.playAt(host, 4_501 + 8 * index, 5_000));
                await sleep(1_200);
                proxy.setMode({ kind: "pass" });
            }
            await Promise.all(extraPlays);
        });
    });
});
