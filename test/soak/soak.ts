/**
 * Random faults on real daemons: processes that are killed, suspended and restarted, and connections to the store and to the
 * servers that are delayed, cut or reset, while clients go on. What callers and servers see is checked as it happens.
 */
import http from "node:http";
import { topics } from "../../platform/names.js";
import type { ServerStandIn } from "../../platform/standins/serverStandIn.js";
import { noServerFaults } from "../../platform/standins/serverStandIn.js";
import type { ClientAnswer, FleetHost } from "../fleet/fleet.js";
import { Fleet, isReady, keyedService, buildRoutingConfig, paths, plainService, send, sleep } from "../fleet/fleet.js";
import { Random } from "../support/random.js";
import type { ProxyMode } from "./faultProxy.js";
import { FaultProxy } from "./faultProxy.js";

const hostCount = 4;
const keyedCount = 5;
const plainCount = 3;
const requestPeriodMs = 20;
const lookAtOwnersMs = 15;

/** Two servers that hold a key for longer than this break the rule; the stand-ins' own clocks tick on their event loop. */
const twoOwnersMs = 120;

const recoverMs = 25_000;
const watchedKeys = Array.from({ length: 32 }, (_, index) => index * 2_114);

/** Answers that promise that the request has not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** What a run showed. */
export interface SoakResult {
    seed: number;
    violations: string[];
    steps: string[];
    answers: Record<string, number>;
    /** Names of the files that hold the hosts' logs. */
    logFiles: string[];
}

interface Sent {
    id: string;
    isOrder: boolean;
    answer: ClientAnswer;
}

/** One run. */
class Soak {
    readonly violations: string[] = [];
    readonly steps: string[] = [];
    readonly sent: Sent[] = [];
    readonly logFiles = new Set<string>();
    private readonly storeProxies = new Map<string, FaultProxy>();
    private readonly serverProxies = new Map<string, FaultProxy>();
    private readonly agents = new Map<FleetHost, http.Agent>();
    /** Faults that end by themselves. */
    private readonly pending = new Set<Promise<void>>();
    private readonly startedMs = performance.now();
    private ended = false;
    private serversAdded = 0;
    private configVersion = 1;
    private requests = 0;

    constructor(private readonly fleet: Fleet, readonly seed: number, readonly random: Random) {}

    async addHost(name: string): Promise<FleetHost> {
        const proxy = this.storeProxies.get(name) ?? await FaultProxy.start();
        proxy.target = this.fleet.store.address;
        this.storeProxies.set(name, proxy);
        const host = await this.fleet.startHost(name, proxy.address);
        this.agents.set(host, new http.Agent({ keepAlive: true, maxSockets: 20 }));
        this.logFiles.add(host.logFile);
        return host;
    }

    async addServer(service: string): Promise<ServerStandIn> {
        this.serversAdded += 1;
        const id = `${service}-${String(this.serversAdded)}`;
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
        proxy.target = server.address;
        return server;
    }

    private note(step: string): void {
        this.steps.push(`${((performance.now() - this.startedMs) / 1_000).toFixed(2)} ${step}`);
    }

    /** Does something for a while, beside whatever else happens. */
    private during(step: string, act: () => Promise<void>): void {
        this.note(step);
        const done = act().catch((error: unknown) => {
            this.violations.push(`${step}: ${String(error)}`);
        }).then(() => {
            this.pending.delete(done);
        });
        this.pending.add(done);
    }

    private pickHost(): FleetHost | undefined {
        return this.fleet.hosts.length > 1 ? this.random.pick(this.fleet.hosts) : undefined;
    }

    restart(signal: NodeJS.Signals): void {
        const host = this.pickHost();
        if (host !== undefined) {
            this.during(`${signal} ${host.name}`, async () => {
                await this.fleet.endHost(host, signal);
                await sleep(this.random.upTo(800));
                await this.addHost(host.name);
            });
        }
    }

    suspend(): void {
        const host = this.pickHost();
        if (host !== undefined) {
            const forMs = 300 + this.random.upTo(2_500);
            this.during(`suspend ${host.name} ${String(Math.round(forMs))} ms`, async () => {
                host.child.kill("SIGSTOP");
                await sleep(forMs);
                host.child.kill("SIGCONT");
            });
        }
    }

    private disturb(what: string, proxies: ReadonlyMap<string, FaultProxy>): void {
        const [name, proxy] = this.random.pick([...proxies]);
        const mode = this.random.pick<ProxyMode>([
            { kind: "delay", delayMs: 40 }, { kind: "delay", delayMs: 400 }, { kind: "silent" }, { kind: "one-way" }, { kind: "reset" },
        ]);
        const forMs = 300 + this.random.upTo(4_000);
        this.during(`${what} ${name}: ${mode.kind} ${String(Math.round(forMs))} ms`, async () => {
            proxy.setMode(mode);
            await sleep(forMs);
            proxy.setMode({ kind: "pass" });
        });
    }

    disturbStore(): void {
        this.disturb("store for", this.storeProxies);
    }

    disturbServer(): void {
        this.disturb("server", this.serverProxies);
    }

    /** Servers that have ended; what they ran still counts. */
    readonly lost: ServerStandIn[] = [];

    /** A server ends without notice; another comes. */
    loseServer(): void {
        const server = this.random.pick(this.fleet.servers);
        const service = server.id.startsWith(keyedService) ? keyedService : plainService;
        this.during(`lose ${server.id}`, async () => {
            this.fleet.servers.splice(this.fleet.servers.indexOf(server), 1);
            this.lost.push(server);
            await server.crash();
            await sleep(this.random.upTo(2_000));
            server.removeEntry();
            await this.addServer(service);
        });
    }

    drainServer(): void {
        const server = this.random.pick(this.fleet.servers);
        const service = server.id.startsWith(keyedService) ? keyedService : plainService;
        const leave = this.random.pick(["drain", "leaveByHeader"] as const);
        this.during(`${leave} ${server.id}`, async () => {
            await this.addServer(service);
            server[leave]();
            await sleep(5_000);
            if (this.fleet.servers.includes(server)) {
                this.fleet.servers.splice(this.fleet.servers.indexOf(server), 1);
                this.lost.push(server);
                await server.crash();
                server.removeEntry();
            }
        });
    }

    spoilServer(): void {
        const server = this.random.pick(this.fleet.servers);
        const faults = this.random.pick([
            { shedShare: 0.5 }, { shedShare: 0.5, retryAfterSeconds: 0.7 }, { loseAnswerShare: 0.3 }, { extraAnswerShare: 0.3 },
            { cutAnswerShare: 0.3 }, { slowness: 8 },
        ]);
        this.during(`${server.id} ${JSON.stringify(faults)}`, async () => {
            server.faults = { ...noServerFaults, ...faults };
            await sleep(300 + this.random.upTo(3_000));
            server.faults = noServerFaults;
        });
    }

    configure(): void {
        this.configVersion += 1;
        this.note(`configuration ${String(this.configVersion)}`);
        this.fleet.store.put(topics.configuration, "config", buildRoutingConfig(this.configVersion, { timeoutMs: 2_000 + this.configVersion }));
    }

    /** Clients keep their connections until the process at the other end is gone. */
    async load(): Promise<void> {
        while (!this.ended) {
            const host = this.random.pick(this.fleet.hosts);
            this.requests += 1;
            const id = `s${String(this.seed)}-${String(this.requests)}`;
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

    async watchOwners(): Promise<void> {
        const twoSinceMs = new Map<number, number>();
        while (!this.ended) {
            const nowMs = performance.now();
            for (const key of watchedKeys) {
                const owners = this.fleet.holders(key);
                const sinceMs = owners.length > 1 ? twoSinceMs.get(key) ?? nowMs : undefined;
                if (sinceMs === undefined) {
                    twoSinceMs.delete(key);
                    continue;
                }
                twoSinceMs.set(key, sinceMs);
                if (nowMs - sinceMs > twoOwnersMs) {
                    this.violations.push(`${((nowMs - this.startedMs) / 1_000).toFixed(2)} key ${String(key)}: ${owners.map(({ id }) => id).join(" and ")}`);
                    twoSinceMs.delete(key);
                }
            }
            await sleep(lookAtOwnersMs);
        }
    }

    /** Ends every fault and waits until all is well again. */
    async heal(): Promise<void> {
        await Promise.all([...this.pending]);
        await this.fleet.waitUntil("every host is ready again", async () => (await Promise.all(this.fleet.hosts.map(isReady))).every(Boolean), recoverMs);
        await this.fleet.waitUntil("every key is held by one server again", () =>
            Promise.resolve(watchedKeys.every((key) => this.fleet.holders(key).length === 1)), recoverMs);
        this.ended = true;
        await sleep(500);
    }

    /** Judges all answers by what the servers ran. */
    judge(): void {
        const runsOf = (id: string) => this.fleet.countRuns(id)
            + this.lost.reduce((sum, { runs }) => sum + runs.filter(({ requestId }) => requestId === id).length, 0);
        for (const { id, isOrder, answer } of this.sent) {
            const runs = runsOf(id);
            if (isOrder && runs > 1) {
                this.violations.push(`order ${id} ran ${String(runs)} times`);
            }
            if (isOrder && notRunStatuses.has(answer.status) && runs > 0) {
                this.violations.push(`order ${id} was answered ${String(answer.status)} and ran`);
            }
            if (answer.status === 200 && (answer.headers["response-signature"] !== `signed-${id}` || !answer.body.startsWith(`answer to ${id} `))) {
                this.violations.push(`${id} got the answer to another request, or a part of one`);
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

const faults: ((soak: Soak) => void)[] = [
    (soak) => {
        soak.restart("SIGKILL");
    },
    (soak) => {
        soak.restart("SIGTERM");
    },
    (soak) => {
        soak.suspend();
    },
    (soak) => {
        soak.disturbStore();
    },
    (soak) => {
        soak.disturbServer();
    },
    (soak) => {
        soak.loseServer();
    },
    (soak) => {
        soak.drainServer();
    },
    (soak) => {
        soak.spoilServer();
    },
    (soak) => {
        soak.configure();
    },
];

/**
 * Plays a run.
 * @param seed fixes which faults come in which order; their effects also depend on the machine
 * @param durationMs how long faults come
 */
export async function runSoak(seed: number, durationMs: number): Promise<SoakResult> {
    const fleet = await Fleet.start(0, 0, 0, false);
    const soak = new Soak(fleet, seed, new Random(seed));
    try {
        fleet.store.put(topics.configuration, "config", buildRoutingConfig(1));
        for (let index = 0; index < keyedCount + plainCount; index++) {
            await soak.addServer(index < keyedCount ? keyedService : plainService);
        }
        for (let index = 0; index < hostCount; index++) {
            await soak.addHost(`h${String(index)}`);
        }
        await fleet.waitUntilServing();
        const watching = Promise.all([soak.load(), soak.watchOwners()]);
        const untilMs = performance.now() + durationMs;
        while (performance.now() < untilMs) {
            soak.random.pick(faults)(soak);
            await sleep(soak.random.upTo(1_200));
        }
        await soak.heal();
        await watching;
        soak.judge();
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
