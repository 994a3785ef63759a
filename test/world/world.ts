/** Simulation of a small cluster in virtual time, and the random faults that are injected into it. */
import type { Address, DataCentreId, HostId, Key, ServiceId, TargetId } from "../../src/model/names.js";
import { maxKey } from "../../src/model/names.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import { SeededRandom } from "../support/seededRandom.js";
import { VirtualClock } from "../support/virtualTime.js";
import { VirtualHosts } from "./virtualHosts.js";
import { VirtualStore } from "./virtualStore.js";
import { VirtualTarget, VirtualTargets } from "./virtualTargets.js";

const serviceId = "main" as ServiceId;
const heartbeatPeriodMs = 800;
const config: RoutingConfig = {
    version: 1, routes: [], limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    services: [{ serviceId, healthPath: "/", maxConnections: 100, sharded: true, warmUpMs: 0 }],
};

/** The simulated cluster: some hosts, some targets and the store. */
export class World {
    readonly clock = new VirtualClock();
    readonly random: SeededRandom;
    readonly store: VirtualStore;
    readonly targets: VirtualTargets;
    readonly hosts: VirtualHosts;
    readonly hostIds: HostId[];
    /** Number of returns of the store from an older copy. */
    returnCount = 0;
    private lastTargetNumber = 0;
    private isStopped = false;

    /** @param seed seed of all random decisions; equal seeds give equal runs */
    constructor(seed: number, targetCount = 4, hostCount = 3) {
        this.hostIds = Array.from({ length: hostCount }, (_, index) => `h${String(index + 1)}` as HostId);
        this.random = new SeededRandom(seed);
        this.store = new VirtualStore(this.clock, this.random);
        this.targets = new VirtualTargets(this.clock, this.random, this.store);
        this.hosts = new VirtualHosts(this.clock, this.store, this.targets);
        this.store.put("configuration", "config", config);
        for (let count = 0; count < targetCount; count++) {
            this.addTarget();
        }
        void this.publishHeartbeats();
        this.hostIds.forEach((hostId) => {
            this.hosts.start(hostId);
        });
    }

    addTarget(dataCentreId = "here"): VirtualTarget {
        this.lastTargetNumber += 1;
        const name = `t${String(this.lastTargetNumber)}`;
        const target = new VirtualTarget(name as TargetId, `${name}:80` as Address, serviceId, dataCentreId as DataCentreId);
        this.targets.add(target);
        return target;
    }

    /** Has an operator evacuate a data centre, or end that. */
    evacuate(dataCentreId: string, isBeginning: boolean): void {
        this.store.put("configuration", `evacuate/${dataCentreId}`, isBeginning ? {} : undefined);
    }

    /** Cuts hosts off from all targets, or ends such a cut. */
    cutFromTargets(hostIds: readonly HostId[], isCut: boolean): void {
        for (const link of hostIds.flatMap((hostId) => this.targets.all().map(({ targetId }) => `${hostId}>${targetId}`))) {
            if (isCut) {
                this.targets.blockedLinks.add(link);
            }
            else {
                this.targets.blockedLinks.delete(link);
            }
        }
    }

    /** Records work on random keys at every host, about 40 % of it on one hot key. */
    addLoad(): void {
        const hotKey = this.random.integerUpTo(maxKey) as Key;
        for (const { loads } of this.hosts.runs.values()) {
            for (let count = 0; count < 12; count++) {
                loads.count(serviceId, this.random.chance(0.4) ? hotKey : this.random.integerUpTo(maxKey) as Key, 100);
            }
        }
    }

    /**
     * Has the store come back from an older copy.
     * @param copyAgeMs age of the copy when the store goes away
     * @param awayMs time for which it is away
     */
    async returnStore(copyAgeMs: number, awayMs: number): Promise<void> {
        const copy = this.store.takeCopy();
        await this.clock.sleep(copyAgeMs);
        this.store.isDown = true;
        await this.clock.sleep(awayMs);
        this.store.returnFrom(copy);
        this.store.isDown = false;
        this.returnCount += 1;
        this.store.put("configuration", "config", config);
        this.targets.publishEntries();
        this.targets.all().filter(({ isRegistered }) => !isRegistered).forEach((target) => {
            this.targets.deregister(target);
        });
    }

    /** Ends all faults, and restarts the hosts and targets that are down. */
    heal(): void {
        this.store.isDown = false;
        this.store.refusedHosts.clear();
        this.store.disconnectedHosts.clear();
        this.store.faultRates = { lostAnswer: 0, lateAppend: 0 };
        this.targets.blockedLinks.clear();
        this.targets.faultRates = { lateGrant: 0, lostAnswer: 0 };
        this.hosts.blockedLinks.clear();
        for (const { process } of this.hosts.runs.values()) {
            process.resume();
        }
        for (const hostId of this.hostIds.filter((id) => !this.hosts.runs.has(id))) {
            this.hosts.start(hostId);
        }
        for (const target of this.targets.all()) {
            target.isUnresponsive = false;
            target.isAddressReused = false;
            target.requestsPerSecond = undefined;
            if (!target.isUp) {
                target.restart();
            }
            target.isRegistered = true;
            target.isDraining = false;
        }
    }

    /** Ends the simulation. */
    stop(): void {
        this.isStopped = true;
        this.hostIds.forEach((hostId) => {
            this.hosts.kill(hostId);
        });
    }

    private async publishHeartbeats(): Promise<void> {
        while (!this.isStopped) {
            this.targets.publishEntries();
            await this.clock.sleep(heartbeatPeriodMs);
        }
    }
}

/** Faults by name, and the events `addLoad` and `heal`. A fault lasts until `heal` or ends by itself after some time. */
export const faults: Record<string, (world: World) => void> = {
    killHost: (world) => {
        const hostId = world.random.pick(world.hostIds);
        world.hosts.kill(hostId);
        void world.clock.sleep(200 + world.random.integerUpTo(4_000)).then(() => {
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
            void world.clock.sleep(500 + world.random.integerUpTo(6_000)).then(() => process?.resume());
        }
    },
    disconnectHostFromStore: (world) => {
        world.store.disconnectedHosts.add(world.random.pick(world.hostIds));
    },
    refuseCoordinatorStoreCalls: (world) => {
        world.hosts.coordinators().forEach((hostId) => world.store.refusedHosts.add(hostId));
    },
    disconnectHosts: (world) => {
        const [from, to] = [world.random.pick(world.hostIds), world.random.pick(world.hostIds)];
        world.hosts.blockedLinks.add(`${from}>${to}`);
        world.hosts.blockedLinks.add(`${to}>${from}`);
    },
    disconnectHostFromTarget: (world) => {
        world.targets.blockedLinks.add(`${world.random.pick(world.hostIds)}>${world.random.pick(world.targets.all()).targetId}`);
    },
    stopStore: (world) => {
        world.store.isDown = true;
        void world.clock.sleep(2_000 + world.random.integerUpTo(8_000)).then(() => {
            world.store.isDown = false;
        });
    },
    loseStoreAnswers: (world) => {
        world.store.faultRates = { lostAnswer: 0.3, lateAppend: 0.2 };
    },
    delayGrants: (world) => {
        world.targets.faultRates = { lateGrant: 0.2, lostAnswer: 0.1 };
    },
    crashTarget: (world) => {
        const target = world.random.pick(world.targets.all());
        target.crash();
        void world.clock.sleep(world.random.integerUpTo(6_000)).then(() => {
            if (!target.isUp && !target.isAddressReused) {
                target.restart();
            }
        });
    },
    reuseTargetAddress: (world) => {
        const target = world.random.pick(world.targets.all());
        target.crash();
        void world.clock.sleep(500 + world.random.integerUpTo(2_000)).then(() => {
            if (!target.isUp) {
                world.targets.deregister(target);
                target.isAddressReused = true;
            }
        });
    },
    hangTarget: (world) => {
        const target = world.random.pick(world.targets.all());
        target.isUnresponsive = true;
        void world.clock.sleep(500 + world.random.integerUpTo(9_000)).then(() => {
            target.isUnresponsive = false;
        });
    },
    drainTarget: (world) => {
        const target = world.random.pick(world.targets.all());
        target.isDraining = true;
        void world.clock.sleep(3_000).then(() => {
            target.isDraining = false;
        });
    },
    deregisterTarget: (world) => {
        const target = world.random.pick(world.targets.all());
        world.targets.deregister(target);
        void world.clock.sleep(1_000 + world.random.integerUpTo(6_000)).then(() => {
            target.isRegistered = true;
        });
    },
    limitTarget: (world) => {
        const target = world.random.pick(world.targets.all());
        target.requestsPerSecond = world.random.pick([0, 0.4, 2.3, 12]);
        void world.clock.sleep(1_000 + world.random.integerUpTo(8_000)).then(() => {
            target.requestsPerSecond = undefined;
        });
    },
    cutHostsFromTargets: (world) => {
        const hosts = world.hostIds.filter(() => world.random.chance(0.5));
        world.cutFromTargets(hosts, true);
        void world.clock.sleep(1_000 + world.random.integerUpTo(12_000)).then(() => {
            world.cutFromTargets(hosts, false);
        });
    },
    returnStore: (world) => {
        void world.returnStore(world.random.integerUpTo(4_000), world.random.integerUpTo(4_000));
    },
    addLoad: (world) => {
        world.addLoad();
        world.addLoad();
    },
    heal: (world) => {
        world.heal();
    },
};

/** Names of all faults. */
export const allFaultNames = Object.keys(faults);

/** Names of the faults that the regression seeds select from. Their order decides which of them a seed selects. */
const laterFaultNames = ["limitTarget", "cutHostsFromTargets", "returnStore"];
export const faultNames = allFaultNames.filter((name) => !laterFaultNames.includes(name));

/** The same, with rate limits. */
export const faultNamesWithLimits = allFaultNames.filter((name) => name === "limitTarget" || !laterFaultNames.includes(name));
