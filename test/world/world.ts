/** A small installation on virtual time, and the random troubles that it goes through. */
import type { Address, DataCentreId, HostId, Key, ServiceId, TargetId } from "../../src/model/names.js";
import { maxKey } from "../../src/model/names.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import { Random } from "../support/random.js";
import { VirtualClock } from "../support/virtualTime.js";
import { VirtualHosts } from "./virtualHosts.js";
import { VirtualStore } from "./virtualStore.js";
import { VirtualTarget, VirtualTargets } from "./virtualTargets.js";

const serviceId = "main" as ServiceId;
const beatMs = 800;
const config = {
    version: 1, routes: [], limits: {},
    services: [{ serviceId, healthPath: "/", maxConnections: 100, sharded: true, warmUpMs: 0 }],
} as unknown as RoutingConfig;

/** Hosts, targets and the store. */
export class World {
    readonly clock = new VirtualClock();
    readonly random: Random;
    readonly store: VirtualStore;
    readonly targets: VirtualTargets;
    readonly hosts: VirtualHosts;
    readonly hostIds = ["h1", "h2", "h3"] as HostId[];
    private nextTarget = 0;
    private stopped = false;

    /** @param seed fixes everything that chance decides */
    constructor(seed: number, targetCount = 4) {
        this.random = new Random(seed);
        this.store = new VirtualStore(this.clock, this.random);
        this.targets = new VirtualTargets(this.clock, this.random, this.store);
        this.hosts = new VirtualHosts(this.clock, this.store, this.targets);
        this.store.put("configuration", "config", config);
        for (let count = 0; count < targetCount; count++) {
            this.addTarget();
        }
        void this.beat();
        this.hostIds.forEach((hostId) => {
            this.hosts.start(hostId);
        });
    }

    addTarget(): VirtualTarget {
        this.nextTarget += 1;
        const name = `t${String(this.nextTarget)}`;
        const target = new VirtualTarget(name as TargetId, `${name}:80` as Address, serviceId, "here" as DataCentreId);
        this.targets.add(target);
        return target;
    }

    /** Counts work for random keys at every host, a part of it at one hot key. */
    addLoad(): void {
        const hot = this.random.upTo(maxKey) as Key;
        for (const { loads } of this.hosts.runs.values()) {
            for (let count = 0; count < 12; count++) {
                loads.count(serviceId, this.random.chance(0.4) ? hot : this.random.upTo(maxKey) as Key, 100);
            }
        }
    }

    /** Ends every trouble. */
    heal(): void {
        this.store.isDown = false;
        this.store.refusing.clear();
        this.store.cutFrom.clear();
        this.store.weather = { loseAnswer: 0, lateAppend: 0 };
        this.targets.cuts.clear();
        this.targets.weather = { late: 0, loseAnswer: 0 };
        this.hosts.cuts.clear();
        for (const { process } of this.hosts.runs.values()) {
            process.resume();
        }
        for (const hostId of this.hostIds.filter((id) => !this.hosts.runs.has(id))) {
            this.hosts.start(hostId);
        }
        for (const target of this.targets.all()) {
            target.isDark = false;
            target.isReplaced = false;
            if (!target.isUp) {
                target.restart();
            }
            target.listed = true;
            target.draining = false;
        }
    }

    stop(): void {
        this.stopped = true;
        this.hostIds.forEach((hostId) => {
            this.hosts.kill(hostId);
        });
    }

    private async beat(): Promise<void> {
        while (!this.stopped) {
            this.targets.beat();
            await this.clock.sleep(beatMs);
        }
    }
}

/** Troubles by name; each begins something that lasts until it is healed or ends by itself. */
export const troubles: Record<string, (world: World) => void> = {
    killHost: (world) => {
        const hostId = world.random.pick(world.hostIds);
        world.hosts.kill(hostId);
        void world.clock.sleep(200 + world.random.upTo(4_000)).then(() => {
            if (!world.hosts.runs.has(hostId)) {
                world.hosts.start(hostId);
            }
        });
    },
    killCoordinator: (world) => {
        world.hosts.coordinators().forEach((hostId) => {
            world.hosts.kill(hostId);
        });
    },
    pauseCoordinator: (world) => {
        for (const hostId of world.hosts.coordinators()) {
            const process = world.hosts.runs.get(hostId)?.process;
            process?.pause();
            void world.clock.sleep(500 + world.random.upTo(6_000)).then(() => process?.resume());
        }
    },
    cutHostFromStore: (world) => {
        world.store.cutFrom.add(world.random.pick(world.hostIds));
    },
    refuseCoordinator: (world) => {
        world.hosts.coordinators().forEach((hostId) => world.store.refusing.add(hostId));
    },
    cutHosts: (world) => {
        const [from, to] = [world.random.pick(world.hostIds), world.random.pick(world.hostIds)];
        world.hosts.cuts.add(`${from}>${to}`);
        world.hosts.cuts.add(`${to}>${from}`);
    },
    cutHostFromTarget: (world) => {
        world.targets.cuts.add(`${world.random.pick(world.hostIds)}>${world.random.pick(world.targets.all()).targetId}`);
    },
    storeDown: (world) => {
        world.store.isDown = true;
        void world.clock.sleep(2_000 + world.random.upTo(8_000)).then(() => {
            world.store.isDown = false;
        });
    },
    storeForgets: (world) => {
        world.store.weather = { loseAnswer: 0.3, lateAppend: 0.2 };
    },
    grantsLate: (world) => {
        world.targets.weather = { late: 0.2, loseAnswer: 0.1 };
    },
    targetCrashes: (world) => {
        const target = world.random.pick(world.targets.all());
        target.crash();
        void world.clock.sleep(world.random.upTo(6_000)).then(() => {
            if (!target.isUp && !target.isReplaced) {
                target.restart();
            }
        });
    },
    addressUsedAgain: (world) => {
        const target = world.random.pick(world.targets.all());
        target.crash();
        void world.clock.sleep(500 + world.random.upTo(2_000)).then(() => {
            if (!target.isUp) {
                world.targets.unlist(target);
                target.isReplaced = true;
            }
        });
    },
    targetDark: (world) => {
        const target = world.random.pick(world.targets.all());
        target.isDark = true;
        void world.clock.sleep(500 + world.random.upTo(9_000)).then(() => {
            target.isDark = false;
        });
    },
    targetLeaves: (world) => {
        const target = world.random.pick(world.targets.all());
        target.draining = true;
        void world.clock.sleep(3_000).then(() => {
            target.draining = false;
        });
    },
    targetLapses: (world) => {
        const target = world.random.pick(world.targets.all());
        world.targets.unlist(target);
        void world.clock.sleep(1_000 + world.random.upTo(6_000)).then(() => {
            target.listed = true;
        });
    },
    load: (world) => {
        world.addLoad();
        world.addLoad();
    },
    heal: (world) => {
        world.heal();
    },
};

/** Names of the troubles. */
export const troubleNames = Object.keys(troubles);
