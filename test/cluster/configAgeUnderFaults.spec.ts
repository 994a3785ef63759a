import { expect } from "chai";
import type { HostId } from "../../src/model/names.js";
import { faults, World } from "../world/world.js";

const settledMs = 8_000;
const runMs = 25_000;
const healedMs = 12_000;
/** `FIRST_SEED` and `SEED_COUNT` in the environment choose others, for long runs by hand. */
const seeds = Array.from({ length: Number(process.env["SEED_COUNT"] ?? 6) }, (_, index) => Number(process.env["FIRST_SEED"] ?? 1) + index);

/** Ages are stated in whole milliseconds in messages, on up to two ways. */
const roundingMs = 2;

const faultNames = [
    "killHost", "killCoordinator", "pauseCoordinator", "disconnectHostFromStore", "refuseCoordinatorStoreCalls", "disconnectHosts",
    "stopStore", "heal",
];

/** A configuration, and the time from which it is in force because the store has acknowledged it. */
interface Publication {
    version: number;
    atMs: number;
}

/** Operators publish at random moments, in a world with random faults. */
class PublishingWorld {
    readonly world: World;
    /** What the store holds, and when it was acknowledged. */
    private publications: Publication[] = [{ version: 1, atMs: 0 }];
    private newestVersion = 1;
    readonly violations: string[] = [];

    constructor(seed: number) {
        this.world = new World(seed, 2, 4);
    }

    private publish(version: number): void {
        const { store, clock } = this.world;
        store.put("configuration", "config", {
            version, routes: [], services: [],
            limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        });
        this.publications.push({ version, atMs: clock.now().monoMs });
    }

    /** The store comes back from an older copy; what it lacks is written again, or replaced by a newer version, soon or at once. */
    private restore(): void {
        const { store, random, clock } = this.world;
        const lostCount = Math.min(this.publications.length - 1, 1 + random.integerUpTo(1));
        const newest = this.publications.at(-1) as Publication;
        store.loseNewest("configuration", lostCount);
        this.publications = this.publications.slice(0, this.publications.length - lostCount);
        void clock.sleep(random.pick([0, 0, 300, 1_500])).then(() => {
            if (this.publications.every(({ version }) => version < newest.version)) {
                this.publish(newest.version);
            }
        });
    }

    readonly events: Record<string, () => void> = {
        ...Object.fromEntries(faultNames.map((name) => [name, () => faults[name]?.(this.world)])),
        publish: () => {
            this.newestVersion += 1 + this.world.random.integerUpTo(3);
            this.publish(this.newestVersion);
        },
        restore: () => {
            this.restore();
        },
        pauseHost: () => {
            const { hosts, hostIds, random, clock } = this.world;
            const process = hosts.runs.get(random.pick(hostIds))?.process;
            process?.pause();
            void clock.sleep(300 + random.integerUpTo(5_000)).then(() => process?.resume());
        },
        refuseTopic: () => {
            const { store, random, clock } = this.world;
            const topic = random.pick(["configuration", "ledger"] as const);
            store.refusedTopics.add(topic);
            void clock.sleep(500 + random.integerUpTo(4_000)).then(() => store.refusedTopics.delete(topic));
        },
    };

    /** Records each host that takes a configuration for confirmed since a moment at which a newer one was in force. */
    readonly check = (): void => {
        for (const [hostId, { node, process, view }] of this.world.hosts.runs) {
            const ageMs = process.isPaused ? Number.POSITIVE_INFINITY : node.configAgeMs(process.clock.now().monoMs);
            const confirmedAtMs = this.world.clock.now().monoMs - ageMs - roundingMs;
            const inForce = Math.max(...this.publications.filter(({ atMs }) => atMs <= confirmedAtMs).map(({ version }) => version), -1);
            const known = view.config?.config.version ?? -1;
            if (known < inForce) {
                const at = `${String(this.world.clock.now().monoMs)} ${hostId}`;
                this.violations.push(`${at}: version ${String(known)} at an age of ${String(ageMs)} ms, ${String(inForce)} in force`);
            }
        }
    };

    versions(): (number | undefined)[] {
        return this.world.hostIds.map((hostId: HostId) => this.world.hosts.runs.get(hostId)?.view.config?.config.version);
    }

    newest(): number {
        return Math.max(...this.publications.map(({ version }) => version));
    }
}

describe("age of a host's configuration under random faults", function () {
    this.timeout(seeds.length * 20_000);

    for (const { suffix, withRestores } of [
        { suffix: "", withRestores: false }, { suffix: ", also if the store comes back from older copies", withRestores: true },
    ]) {
        it(`never counts from a moment at which a newer one was in force${suffix}`, async () => {
            for (const seed of seeds) {
                const publishing = new PublishingWorld(seed);
                const { world } = publishing;
                await world.clock.advance(settledMs);
                const names = [...Object.keys(publishing.events).filter((name) => withRestores || name !== "restore"), "publish", "publish"];
                for (let elapsedMs = 0; elapsedMs < runMs;) {
                    const stepMs = 50 + world.random.integerUpTo(900);
                    publishing.events[world.random.pick(names)]?.();
                    await world.clock.advance(stepMs, publishing.check);
                    elapsedMs += stepMs;
                }
                world.heal();
                world.store.refusedTopics.clear();
                await world.clock.advance(healedMs, publishing.check);
                expect(publishing.violations.slice(0, 5), `seed ${String(seed)}`).to.deep.equal([]);
                expect(publishing.versions(), `seed ${String(seed)}`).to.deep.equal(world.hostIds.map(() => publishing.newest()));
                world.stop();
            }
        });
    }
});
