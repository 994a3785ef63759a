/**
 * Soak test of real daemons under random faults: hosts are killed, suspended and restarted, servers (the targets) crash, drain
 * and answer wrongly or late, and connections to the store and to the servers are delayed, silenced or reset while clients send requests.
 * Ownership of keys is checked during the run, answers to clients at its end.
 */
import http from "node:http";
import { topics } from "../../platform/names.js";
import type { ServerStandIn } from "../../platform/standins/serverStandIn.js";
import { noServerFaults } from "../../platform/standins/serverStandIn.js";
import type { ClientAnswer, FleetHost } from "../fleet/fleet.js";
import { Fleet, isReady, keyedService, buildRoutingConfig, paths, plainService, send, sleep } from "../fleet/fleet.js";
import { allowedPerWindow, maxArrivalsPerWindow, settledMs } from "../fleet/rateLimitRule.js";
import { SeededRandom } from "../support/seededRandom.js";
import type { ProxyMode } from "./faultProxy.js";
import { FaultProxy } from "./faultProxy.js";

const hostCount = 4;
const keyedServerCount = 5;
const plainServerCount = 3;
const requestPeriodMs = 20;
const ownerCheckPeriodMs = 15;

/**
 * Two servers that hold a key at once for longer than this are a violation. Shorter overlaps are tolerated, since the stand-ins'
 * timers depend on their event loop.
 */
const maxOwnerOverlapMs = 120;

const recoveryTimeoutMs = 25_000;
const watchedKeys = Array.from({ length: 32 }, (_, index) => index * 2_114);

/** Statuses that state that the request has not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Result of a run. */
export interface SoakResult {
    seed: number;
    violations: string[];
    /** Injected faults, each with its time in seconds. */
    steps: string[];
    /** Number of answers by status. */
    answers: Record<string, number>;
    /** Names of the files that hold the hosts' logs. */
    logFiles: string[];
}

interface SentRequest {
    id: string;
    isOrder: boolean;
    answer: ClientAnswer;
}

/** A run: a fleet behind proxies, the faults injected into it, and the requests sent to it. */
class SoakRun {
    readonly violations: string[] = [];
    readonly steps: string[] = [];
    readonly sent: SentRequest[] = [];
    readonly logFiles = new Set<string>();
    private readonly storeProxies = new Map<string, FaultProxy>();
    private readonly serverProxies = new Map<string, FaultProxy>();
    private readonly agents = new Map<FleetHost, http.Agent>();
    /** Injected faults that have not ended yet; each ends by itself. */
    private readonly activeFaults = new Set<Promise<void>>();
    private readonly startedMs = performance.now();
    private isEnded = false;
    private lastServerNumber = 0;
    private configVersion = 1;
    private requestCount = 0;

    constructor(private readonly fleet: Fleet, readonly seed: number, readonly random: SeededRandom) {}

    async addHost(name: string): Promise<FleetHost> {
        const proxy = this.storeProxies.get(name) ?? await FaultProxy.start();
        proxy.upstreamAddress = this.fleet.store.address;
        this.storeProxies.set(name, proxy);
        const host = await this.fleet.startHost(name, proxy.address);
        this.agents.set(host, new http.Agent({ keepAlive: true, maxSockets: 20 }));
        this.logFiles.add(host.logFile);
        return host;
    }

    async addServer(service: string): Promise<ServerStandIn> {
        this.lastServerNumber += 1;
        const id = `${service}-${String(this.lastServerNumber)}`;
        const proxy = await FaultProxy.start();
        this.serverProxies.set(id, proxy);
        const server = await this.fleet.addServer({
            id, service, sharded: service === keyedService,
            directory: {
                put: (topic, key, value) => {
                    this.fleet.store.put(topic, key, value === undefined ? undefined : { ...value, address: proxy.address });
                },
            },
        });
        proxy.upstreamAddress = server.address;
        return server;
    }

    private recordStep(step: string): void {
        this.steps.push(`${((performance.now() - this.startedMs) / 1_000).toFixed(2)} ${step}`);
    }

    /** Records a step and starts its fault, which goes on in the background until its action ends. */
    private runFault(step: string, action: () => Promise<void>): void {
        this.recordStep(step);
        const done = action().catch((error: unknown) => {
            this.violations.push(`${step}: ${String(error)}`);
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
                await this.addHost(host.name);
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
        this.disturbConnection("store connections of", this.storeProxies);
    }

    disturbServerConnection(): void {
        this.disturbConnection("connections to", this.serverProxies);
    }

    /** Servers that have ended; the requests that they ran still count in the checks. */
    readonly endedServers: ServerStandIn[] = [];

    /** Ends a server without notice and starts another later. */
    crashServer(): void {
        const server = this.random.pick(this.fleet.servers);
        const service = server.id.startsWith(keyedService) ? keyedService : plainService;
        this.runFault(`crash ${server.id}`, async () => {
            this.fleet.servers.splice(this.fleet.servers.indexOf(server), 1);
            this.endedServers.push(server);
            await server.crash();
            await sleep(this.random.integerUpTo(2_000));
            server.removeEntry();
            await this.addServer(service);
        });
    }

    /** Starts another server, lets one announce that it leaves, and ends that one 5 s later. */
    drainServer(): void {
        const server = this.random.pick(this.fleet.servers);
        const service = server.id.startsWith(keyedService) ? keyedService : plainService;
        const method = this.random.pick(["drain", "leaveByHeader"] as const);
        this.runFault(`${method} ${server.id}`, async () => {
            await this.addServer(service);
            server[method]();
            await sleep(5_000);
            if (this.fleet.servers.includes(server)) {
                this.fleet.servers.splice(this.fleet.servers.indexOf(server), 1);
                this.endedServers.push(server);
                await server.crash();
                server.removeEntry();
            }
        });
    }

    injectServerFaults(): void {
        const server = this.random.pick(this.fleet.servers);
        const faults = this.random.pick([
            { shedShare: 0.5 }, { shedShare: 0.5, retryAfterSeconds: 0.7 }, { loseAnswerShare: 0.3 }, { extraAnswerShare: 0.3 },
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
                this.violations.push(`${server.id} got ${String(count)} requests in a window under a rate limit of ${limit}`);
            }
        });
    }

    publishConfiguration(): void {
        this.configVersion += 1;
        this.recordStep(`configuration ${String(this.configVersion)}`);
        this.fleet.store.put(topics.configuration, "config", buildRoutingConfig(this.configVersion, { timeoutMs: 2_000 + this.configVersion }));
    }

    /** Sends requests until the run ends. Connections to a host are kept open until its process ends. */
    async sendRequests(): Promise<void> {
        while (!this.isEnded) {
            const host = this.random.pick(this.fleet.hosts);
            this.requestCount += 1;
            const id = `s${String(this.seed)}-${String(this.requestCount)}`;
            const kind = this.random.pick(["read", "order", "list"] as const);
            const isOrder = kind === "order";
            void send(host, {
                id, path: `${paths[kind]}x`, agent: this.agents.get(host),
                ...kind === "list" ? {} : { key: this.random.pick(watchedKeys) },
                ...isOrder ? { method: "POST", body: "{}" } : {},
            }).then((answer) => {
                this.sent.push({ id, isOrder, answer });
            });
            await sleep(requestPeriodMs);
        }
    }

    /** Records a violation for each key that two servers hold for longer than `maxOwnerOverlapMs`. */
    async checkOwners(): Promise<void> {
        const overlapSinceMs = new Map<number, number>();
        while (!this.isEnded) {
            const nowMs = performance.now();
            for (const key of watchedKeys) {
                const owners = this.fleet.holders(key);
                const sinceMs = owners.length > 1 ? overlapSinceMs.get(key) ?? nowMs : undefined;
                if (sinceMs === undefined) {
                    overlapSinceMs.delete(key);
                    continue;
                }
                overlapSinceMs.set(key, sinceMs);
                if (nowMs - sinceMs > maxOwnerOverlapMs) {
                    this.violations.push(`${((nowMs - this.startedMs) / 1_000).toFixed(2)} key ${String(key)} held by ${owners.map(({ id }) => id).join(" and ")}`);
                    overlapSinceMs.delete(key);
                }
            }
            await sleep(ownerCheckPeriodMs);
        }
    }

    /** Waits until all faults have ended, every host is ready and every watched key has one owner; then ends the run. */
    async waitForRecovery(): Promise<void> {
        await Promise.all([...this.activeFaults]);
        await this.fleet.waitUntil("every host is ready again", async () =>
            (await Promise.all(this.fleet.hosts.map(isReady))).every(Boolean), recoveryTimeoutMs);
        await this.fleet.waitUntil("every key is held by one server again", () =>
            Promise.resolve(watchedKeys.every((key) => this.fleet.holders(key).length === 1)), recoveryTimeoutMs);
        this.isEnded = true;
        await sleep(500);
    }

    /** Compares all answers with the requests that the servers ran. */
    checkAnswers(): void {
        const countRuns = (id: string) => this.fleet.countRuns(id)
            + this.endedServers.reduce((sum, { runs }) => sum + runs.filter(({ requestId }) => requestId === id).length, 0);
        for (const { id, isOrder, answer } of this.sent) {
            const runs = countRuns(id);
            if (isOrder && runs > 1) {
                this.violations.push(`order ${id} ran ${String(runs)} times`);
            }
            if (isOrder && notRunStatuses.has(answer.status) && runs > 0) {
                this.violations.push(`order ${id} was answered ${String(answer.status)}, although it ran`);
            }
            if (answer.status === 200 && (answer.headers["response-signature"] !== `signed-${id}` || !answer.body.startsWith(`answer to ${id} `))) {
                this.violations.push(`${id} got the answer to another request, or an incomplete answer`);
            }
        }
    }

    stopProxies(): void {
        [...this.storeProxies.values(), ...this.serverProxies.values()].forEach((proxy) => {
            proxy.stop();
        });
        this.agents.forEach((agent) => {
            agent.destroy();
        });
    }
}

const faults: ((soak: SoakRun) => void)[] = [
    (soak) => {
        soak.restartHost("SIGKILL");
    },
    (soak) => {
        soak.restartHost("SIGTERM");
    },
    (soak) => {
        soak.suspendHost();
    },
    (soak) => {
        soak.disturbStoreConnection();
    },
    (soak) => {
        soak.disturbServerConnection();
    },
    (soak) => {
        soak.crashServer();
    },
    (soak) => {
        soak.drainServer();
    },
    (soak) => {
        soak.injectServerFaults();
    },
    (soak) => {
        soak.publishConfiguration();
    },
    (soak) => {
        soak.stateRateLimit();
    },
];

/**
 * Runs the soak test once.
 * @param seed seed of the random generator. Equal seeds do not give equal runs: the loops that inject faults and send requests share
 *     the generator, and the order in which they draw from it depends on timing on the machine.
 * @param durationMs time for which faults are injected
 */
export async function runSoak(seed: number, durationMs: number): Promise<SoakResult> {
    const fleet = await Fleet.start(0, 0, 0, false);
    const soak = new SoakRun(fleet, seed, new SeededRandom(seed));
    try {
        fleet.store.put(topics.configuration, "config", buildRoutingConfig(1));
        for (let index = 0; index < keyedServerCount + plainServerCount; index++) {
            await soak.addServer(index < keyedServerCount ? keyedService : plainService);
        }
        for (let index = 0; index < hostCount; index++) {
            await soak.addHost(`h${String(index)}`);
        }
        await fleet.waitUntilServing();
        const background = Promise.all([soak.sendRequests(), soak.checkOwners()]);
        const faultsEndMs = performance.now() + durationMs;
        while (performance.now() < faultsEndMs) {
            soak.random.pick(faults)(soak);
            await sleep(soak.random.integerUpTo(1_200));
        }
        await soak.waitForRecovery();
        await background;
        soak.checkAnswers();
    }
    catch (error) {
        soak.violations.push(String(error));
    }
    finally {
        soak.stopProxies();
        await fleet.stop();
    }
    const answers: Record<string, number> = {};
    for (const { answer } of soak.sent) {
        answers[String(answer.status)] = (answers[String(answer.status)] ?? 0) + 1;
    }
    return { seed, violations: soak.violations, steps: soak.steps, answers, logFiles: [...soak.logFiles] };
}
