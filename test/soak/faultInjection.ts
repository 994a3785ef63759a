/** Injects faults into a soak fleet; each fault ends by itself. */
import { evacuationKeyPrefix, topics } from "../../platform/names.js";
import { noServerFaults } from "../../platform/standins/serverFaults.js";
import type { FleetHost } from "../fleet/fleet.js";
import { buildRoutingConfig, hasEnded, isReady, keyedService, paths, plainService, send, sleep } from "../fleet/fleet.js";
import { limitOpenFiles, nextDescriptor } from "../fleet/openFiles.js";
import type { CutKind } from "../fleet/targetCut.js";
import { cutFromTargets } from "../fleet/targetCut.js";
import { allowedPerWindow, maxArrivalsPerWindow, settledMs } from "../fleet/rateLimitRule.js";
import type { SeededRandom } from "../support/seededRandom.js";
import type { FaultProxy, ProxyMode } from "./faultProxy.js";
import type { SoakFleet } from "./soakFleet.js";
import { evacuatedZone } from "./soakFleet.js";
import type { SoakReport } from "./soakReport.js";

/** Limit on descriptors once a host has some again. */
const openFilesAfterwards = 4_096;

/** Injects faults. */
export class FaultInjection {
    /** Injected faults that have not ended yet. */
    private readonly activeFaults = new Set<Promise<void>>();
    private configVersion = 1;
    private isEvacuating = false;

    constructor(private readonly soakFleet: SoakFleet, private readonly random: SeededRandom, private readonly report: SoakReport) {}

    private get fleet() {
        return this.soakFleet.fleet;
    }

    /** Starts a fault of any kind. */
    injectAny(): void {
        this.random.pick(faults)(this);
    }

    /** Waits until the faults that are active now have ended. */
    async waitForEnd(): Promise<void> {
        await Promise.all([...this.activeFaults]);
    }

    private recordStep(step: string): void {
        this.report.steps.push(`${((performance.now() - this.report.startedMs) / 1_000).toFixed(2)} ${step}`);
    }

    /** Records a step and starts its fault, which goes on in the background until its action ends. */
    private runFault(step: string, action: () => Promise<void>): void {
        this.recordStep(step);
        const done = action().catch((error: unknown) => {
            this.report.violations.push(`${step}: ${String(error)}`);
        }).then(() => {
            this.activeFaults.delete(done);
        });
        this.activeFaults.add(done);
    }

    /** Picks a host to stop or suspend; undefined if only one runs. */
    private pickHostToStop(): FleetHost | undefined {
        return this.fleet.hosts.length > 1 ? this.random.pick(this.fleet.hosts) : undefined;
    }

    restartHost(signal: NodeJS.Signals): void {
        const host = this.pickHostToStop();
        if (host !== undefined) {
            this.runFault(`${signal} ${host.name}`, async () => {
                await this.fleet.endHost(host, signal);
                await sleep(this.random.integerUpTo(800));
                await this.soakFleet.addHost(host.name);
            });
        }
    }

    suspendHost(): void {
        const host = this.pickHostToStop();
        if (host !== undefined) {
            const durationMs = 300 + this.random.integerUpTo(2_500);
            this.runFault(`suspend ${host.name} ${String(Math.round(durationMs))} ms`, async () => {
                host.child.kill("SIGSTOP");
                await sleep(durationMs);
                host.child.kill("SIGCONT");
            });
        }
    }

    /** Makes one of the proxies delay, silence or reset its connections for some time. */
    private disturbConnection(subject: string, proxies: ReadonlyMap<string, FaultProxy>): void {
        const [name, proxy] = this.random.pick([...proxies]);
        const mode = this.random.pick<ProxyMode>([
            { kind: "delay", delayMs: 40 }, { kind: "delay", delayMs: 400 }, { kind: "silent" }, { kind: "one-way" }, { kind: "reset" },
        ]);
        const durationMs = 300 + this.random.integerUpTo(4_000);
        this.runFault(`${subject} ${name}: ${mode.kind} ${String(Math.round(durationMs))} ms`, async () => {
            proxy.setMode(mode);
            await sleep(durationMs);
            proxy.setMode({ kind: "pass" });
        });
    }

    disturbStoreConnection(): void {
        this.disturbConnection("store connections of", this.soakFleet.storeProxies);
    }

    disturbServerConnection(): void {
        this.disturbConnection("connections to", this.soakFleet.serverProxies);
    }

    /** Cuts some hosts off from all servers, at times all but one. */
    cutHostsFromServers(): void {
        const spared = this.random.pick(this.fleet.hosts);
        const share = this.random.pick([0.3, 0.6, 1]);
        const hosts = this.fleet.hosts.filter((host) => host !== spared && this.random.chance(share));
        const how = this.random.pick<CutKind>(["hang", "reset", "refuse-new"]);
        const durationMs = 300 + this.random.integerUpTo(6_000);
        this.runFault(`cut ${hosts.map(({ name }) => name).join(" ")} off: ${how} ${String(Math.round(durationMs))} ms`, async () => {
            const addresses = [...this.soakFleet.serverProxies.values()].map(({ address }) => address);
            hosts.forEach((host) => {
                cutFromTargets(host, addresses, how);
            });
            await sleep(durationMs);
            hosts.forEach((host) => {
                cutFromTargets(host, addresses, undefined);
            });
        });
    }

    /** Opens many connections to a host at once, each with a request, as clients do that were sent away or cut off together. */
    burstOfConnections(): void {
        const host = this.random.pick(this.fleet.hosts);
        const count = 50 + Math.round(this.random.integerUpTo(200));
        this.runFault(`${String(count)} new connections to ${host.name}`, async () => {
            await Promise.all(Array.from({ length: count }, (_, index) =>
                send(host, { id: `burst-${String(this.report.steps.length)}-${String(index)}`, path: `${paths.list}x`, budgetMs: 2_000 })));
        });
    }

    /** Leaves a host without a free descriptor for some time; one that starts could not, and nothing here starts it again. */
    useUpDescriptors(): void {
        const host = this.random.pick(this.fleet.hosts);
        const durationMs = 300 + this.random.integerUpTo(3_000);
        this.runFault(`no descriptors for ${host.name} ${String(Math.round(durationMs))} ms`, async () => {
            if (!await isReady(host)) {
                return;
            }
            limitOpenFiles(host, nextDescriptor(host));
            await sleep(durationMs);
            if (!hasEnded(host)) {
                limitOpenFiles(host, openFilesAfterwards);
            }
        });
    }

    /** Ends a server without notice and starts another later. */
    crashServer(): void {
        const server = this.random.pick(this.fleet.servers);
        const service = server.id.startsWith(keyedService) ? keyedService : plainService;
        this.runFault(`crash ${server.id}`, async () => {
            await this.soakFleet.endServer(server);
            await sleep(this.random.integerUpTo(2_000));
            server.removeEntry();
            await this.soakFleet.addServer(service);
        });
    }

    /** Starts another server, lets one announce that it leaves, and ends that one 5 s later. */
    drainServer(): void {
        const server = this.random.pick(this.fleet.servers);
        const service = server.id.startsWith(keyedService) ? keyedService : plainService;
        const method = this.random.pick(["drain", "leaveByHeader"] as const);
        this.runFault(`${method} ${server.id}`, async () => {
            await this.soakFleet.addServer(service);
            server[method]();
            await sleep(5_000);
            if (this.fleet.servers.includes(server)) {
                await this.soakFleet.endServer(server);
                server.removeEntry();
            }
        });
    }

    injectServerFaults(): void {
        const server = this.random.pick(this.fleet.servers);
        const faults = this.random.pick([
            { shedShare: 0.5 }, { shedShare: 0.5, retryAfterSeconds: 0.7 }, { loseAnswerShare: 0.3 }, { extraAnswerShare: 0.3 },
            { failShare: 0.3, shedShare: 0.1, shedAfterMs: 40, namesRejections: false, repeatAnswerShare: 0.5, repeatRejectionShare: 0.5 },
            { cutAnswerShare: 0.3 }, { slowness: 8 },
        ]);
        this.runFault(`${server.id} ${JSON.stringify(faults)}`, async () => {
            server.faults = { ...noServerFaults, ...faults };
            await sleep(300 + this.random.integerUpTo(3_000));
            server.faults = noServerFaults;
        });
    }

    /** Lets a server state a rate limit for some time, which may be no number. */
    stateRateLimit(): void {
        const candidates = this.fleet.servers.filter(({ statedLimit }) => statedLimit === undefined);
        if (candidates.length === 0) {
            return;
        }
        const server = this.random.pick(candidates);
        const limit = this.random.pick(["0", "0.5", "2.3", "6", "soon"]);
        this.runFault(`${server.id} states a rate limit of ${limit}`, async () => {
            server.statedLimit = limit;
            const statedMs = performance.now();
            await sleep(settledMs + this.random.integerUpTo(6_000));
            const requests = server.arrivals.filter(({ isLeaseCall }) => !isLeaseCall);
            server.statedLimit = undefined;
            const count = maxArrivalsPerWindow(requests, statedMs);
            if (count > allowedPerWindow(Number(limit))) {
                this.report.violations.push(`${server.id} got ${String(count)} requests in a window under a rate limit of ${limit}`);
            }
        });
    }

    /** Evacuates one of the two data centres for some time, unless that is under way; the checks of owners and answers apply meanwhile. */
    evacuateDataCentre(): void {
        if (this.isEvacuating) {
            return;
        }
        this.isEvacuating = true;
        const durationMs = 1_000 + this.random.integerUpTo(8_000);
        this.runFault(`evacuate ${evacuatedZone} ${String(Math.round(durationMs))} ms`, async () => {
            this.fleet.store.put(topics.configuration, `${evacuationKeyPrefix}${evacuatedZone}`, {});
            await sleep(durationMs);
            this.fleet.store.put(topics.configuration, `${evacuationKeyPrefix}${evacuatedZone}`, undefined);
            this.isEvacuating = false;
        });
    }

    publishConfiguration(): void {
        this.configVersion += 1;
        this.recordStep(`configuration ${String(this.configVersion)}`);
        this.fleet.store.put(topics.configuration, "config", buildRoutingConfig(this.configVersion, { timeoutMs: 2_000 + this.configVersion }));
    }
}

const faults: ((injection: FaultInjection) => void)[] = [
    (injection) => {
        injection.restartHost("SIGKILL");
    },
    (injection) => {
        injection.restartHost("SIGTERM");
    },
    (injection) => {
        injection.suspendHost();
    },
    (injection) => {
        injection.disturbStoreConnection();
    },
    (injection) => {
        injection.disturbServerConnection();
    },
    (injection) => {
        injection.crashServer();
    },
    (injection) => {
        injection.drainServer();
    },
    (injection) => {
        injection.injectServerFaults();
    },
    (injection) => {
        injection.publishConfiguration();
    },
    (injection) => {
        injection.stateRateLimit();
    },
    (injection) => {
        injection.cutHostsFromServers();
    },
    (injection) => {
        injection.evacuateDataCentre();
    },
    (injection) => {
        injection.burstOfConnections();
    },
    (injection) => {
        injection.useUpDescriptors();
    },
];
