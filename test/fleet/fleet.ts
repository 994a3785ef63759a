/** Runs the real daemons as separate processes against stand-ins for the store and the servers, which run in this process. */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, openSync, readFileSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { settingsPathVariable, topics } from "../../platform/names.js";
import type { ServerOptions, ServerStandIn } from "../../platform/standins/serverStandIn.js";
import { startServer } from "../../platform/standins/serverStandIn.js";
import type { StoreStandIn } from "../../platform/standins/storeStandIn.js";
import { startStore } from "../../platform/standins/storeStandIn.js";
import { createSystemClock } from "../../src/adapters/systemClock.js";

const host = "127.0.0.1";
const portsPerHost = 6;
const defaultWaitTimeoutMs = 15_000;
const pollMs = 25;
const defaultBudgetMs = 4_000;
const answerToleranceMs = 1_000;

/** Time between SIGTERM and SIGKILL that the settings state to the daemons. */
export const graceMs = 6_000;

/** Status of a request that the host neither answered nor dropped by the client's deadline plus `answerToleranceMs`. */
export const unansweredStatus = -1;

/** Outcome of a client's request. */
export interface ClientAnswer {
    /** HTTP status, 0 when the connection ended without a complete answer, or `unansweredStatus`. */
    status: number;
    headers: http.IncomingHttpHeaders;
    body: string;
    tookMs: number;
}

/** A request that a test sends as a client. */
export interface ClientRequest {
    id: string;
    path: string;
    method?: string;
    key?: number;
    budgetMs?: number;
    headers?: Record<string, string>;
    body?: string;
    agent?: http.Agent;
}

/** Ports that a daemon listens on. */
export interface HostPorts {
    peerPort: number;
    clientPort: number;
    readyPort: number;
    adminPort: number;
}

/** How a daemon is started. */
export interface HostStartOptions {
    /** Called with the daemon's ports before it starts. */
    beforeStart?: (ports: HostPorts) => Promise<void>;
    /** Arguments of Node.js that run another program in place of the daemon. */
    program?: string[];
    /** True if the test cuts the host off from targets, see `targetCut.ts`. */
    isCuttable?: boolean;
    /** File descriptor that the daemon writes its log to, in place of its log file. */
    output?: number;
    /** Memory of the machine that the settings state. */
    memoryMb?: number;
}

/** A running daemon. */
export interface FleetHost extends HostPorts {
    name: string;
    child: ChildProcess;
    logFile: string;
}

/** Service of the routing configuration whose targets own keys. */
export const keyedService = "leases";
/** Service of the routing configuration without keys. */
export const plainService = "lists";

/** Path prefixes of the configured routes. */
export const paths = { read: "/read/", order: "/order/", list: "/list/" };

/** Builds a routing configuration in the form in which the platform's operators write it. */
export function buildRoutingConfig(version: number, overrides: { timeoutMs?: number; extraPrefix?: string } = {}): object {
    const timeoutMs = overrides.timeoutMs ?? 3_000;
    const rows = [
        ["r-read", "fleet.example", paths.read, "safe", timeoutMs, 500, 2, keyedService, 2, undefined],
        ["r-order", "fleet.example", paths.order, "unsafe", timeoutMs, 500, 1, keyedService, 2, undefined],
        ["r-list", "fleet.example", paths.list, "safe", timeoutMs, 800, 2, plainService, 2, undefined],
        ...overrides.extraPrefix === undefined ? [] : [
            ["r-extra", "fleet.example", overrides.extraPrefix, "safe", timeoutMs, 800, 2, plainService, 2, undefined],
        ],
    ];
    return {
        version: `r${String(version)}`,
        routes: {
            columns: [
                "name", "host", "path_prefix", "route_type", "timeout_ms", "target_latency_ms", "priority", "service", "max_attempts", "backends",
            ],
            rows,
        },
        services: {
            columns: ["name", "health_check_path", "max_connections", "protocol", "tls", "sharded", "warm_s", "grants"],
            rows: [
                [keyedService, "/health", 110, "h1", false, true, 2, "direct_call"],
                [plainService, "/health", 110, "h1", false, undefined, undefined, undefined],
            ],
        },
        limits: { max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    };
}

/** A set of daemons with a store and servers. */
export class Fleet {
    readonly hosts: FleetHost[] = [];
    readonly servers: ServerStandIn[] = [];
    private readonly folder = mkdtempSync(join(tmpdir(), "hornbeam-"));
    private nextPort = 21_000 + Math.floor(Math.random() * 9_000);

    private constructor(readonly store: StoreStandIn) {}

    /**
     * Starts a fleet.
     * @param hostCount number of daemons
     * @param keyedCount number of servers that own keys
     * @param plainCount number of servers without keys
     * @param configured true to publish a routing configuration and wait until it is served
     */
    static async start(hostCount: number, keyedCount: number, plainCount: number, configured = true): Promise<Fleet> {
        const fleet = new Fleet(await startStore(host, 0));
        for (let index = 0; index < keyedCount; index++) {
            await fleet.addServer({ id: `k${String(index)}`, service: keyedService, sharded: true });
        }
        for (let index = 0; index < plainCount; index++) {
            await fleet.addServer({ id: `p${String(index)}`, service: plainService, sharded: false });
        }
        if (configured) {
            fleet.store.put(topics.configuration, "config", buildRoutingConfig(1));
        }
        for (let index = 0; index < hostCount; index++) {
            await fleet.startHost(`h${String(index)}`);
        }
        if (configured) {
            await fleet.waitUntilServing();
        }
        return fleet;
    }

    /** Waits until every host is ready and every key is held. */
    async waitUntilServing(): Promise<void> {
        await this.waitUntil("every host is ready", async () => (await Promise.all(this.hosts.map(isReady))).every(Boolean));
        await this.waitUntil("every key is held", () => Promise.resolve([0, 30_000, 65_535].every((key) => this.holders(key).length === 1)));
    }

    /** Returns a port on which nothing listens. */
    static async freePort(): Promise<number> {
        for (;;) {
            const port = 30_500 + Math.floor(Math.random() * 2_000);
            if (await isFree(port)) {
                return port;
            }
        }
    }

    /** Starts a server and adds it to the fleet. */
    async addServer(options: Partial<ServerOptions> & { id: string; service: string; sharded: boolean }): Promise<ServerStandIn> {
        const server = await startServer({
            zone: "here", host, port: 0, slots: 3, workMs: 15, heartbeatMs: 300, directory: this.store, random: Math.random,
            clock: createSystemClock(), ...options,
        });
        this.servers.push(server);
        return server;
    }

    /**
     * Starts a daemon and adds it to the fleet.
     * @param name name of the host
     * @param storeAddress address of the store in the host's settings
     * @param options how the daemon is started
     */
    async startHost(name: string, storeAddress = this.store.address, options: HostStartOptions = {}): Promise<FleetHost> {
        const ports = await this.allocatePorts();
        const { peerPort, clientPort, readyPort, adminPort } = ports;
        await options.beforeStart?.(ports);
        const settingsFile = join(this.folder, `${name}.toml`);
        const logFile = join(this.folder, `${name}.log`);
        writeFileSync(settingsFile, [
            `node_name = "${name}"`, `ip = "${host}"`, "zone = \"here\"", `internal_port_range = [${String(peerPort)},${String(peerPort)}]`,
            "heartbeat_ms = 300", `bounds = ["drain_ms=2000","grace_s=${String(graceMs / 1_000)}","retry_budget_ratio=0.2","budget_extra_retries=20"]`,
            "[listen]", `front = "${host}:${String(clientPort)}"`, `ready = "${host}:${String(readyPort)}"`,
            "[limits]", "cpu_share = 0.5", `memory_mb = ${String(options.memoryMb ?? 350)}`, "max_fds = 4100",
            "[platform]", `address = "${storeAddress}"`,
        ].join("\n"));
        const preloads = options.isCuttable === true ? ["--import", "./test/fleet/targetCutPreload.mjs"] : [];
        const program = options.program ?? ["target/hornbeam-host.cjs"];
        const output = options.output ?? openSync(logFile, "a");
        const child = spawn(process.execPath, [...preloads, ...program, "--admin-port", String(adminPort)], {
            env: { PATH: process.env["PATH"], [settingsPathVariable]: settingsFile },
            stdio: ["ignore", output, "inherit", ...options.isCuttable === true ? ["ipc" as const] : []],
        });
        const started: FleetHost = { name, child, ...ports, logFile };
        this.hosts.push(started);
        return started;
    }

    /** Sends a signal that ends a daemon, waits for its exit and removes it from the fleet. */
    async endHost(daemon: FleetHost, signal: NodeJS.Signals): Promise<void> {
        this.hosts.splice(this.hosts.indexOf(daemon), 1);
        if (hasEnded(daemon)) {
            return;
        }
        const ended = once(daemon.child, "exit");
        daemon.child.kill(signal);
        await ended;
    }

    /** Returns the servers that hold a valid lease on a key. */
    holders(key: number): ServerStandIn[] {
        return this.servers.filter((server) => server.holds(key));
    }

    /** Returns how often any server started to process a request. */
    countRuns(requestId: string): number {
        return this.servers.reduce((sum, { runs }) => sum + runs.filter((run) => run.requestId === requestId).length, 0);
    }

    /**
     * Polls until a condition holds.
     * @param condition description of the condition, for the error message
     * @returns time waited in milliseconds
     */
    async waitUntil(condition: string, isMet: () => Promise<boolean>, timeoutMs = defaultWaitTimeoutMs): Promise<number> {
        const startedMs = performance.now();
        while (!await isMet()) {
            if (performance.now() - startedMs > timeoutMs) {
                throw new Error(`timed out after ${String(timeoutMs)} ms waiting until ${condition}`);
            }
            await sleep(pollMs);
        }
        return performance.now() - startedMs;
    }

    /** Returns the log of every running host. */
    logs(): string[] {
        return this.hosts.map(({ logFile }) => readFileSync(logFile, "utf8"));
    }

    /** Stops all daemons, the servers and the store. */
    async stop(): Promise<void> {
        await Promise.all([...this.hosts].map((daemon) => this.endHost(daemon, "SIGKILL")));
        await Promise.all(this.servers.map((server) => server.crash()));
        await this.store.stop();
    }

    private async allocatePorts(): Promise<HostPorts> {
        for (;;) {
            const first = this.nextPort;
            this.nextPort += portsPerHost;
            const ports: HostPorts = { peerPort: first, clientPort: first + 1, readyPort: first + 2, adminPort: first + 3 };
            if ((await Promise.all(Object.values(ports).map(isFree))).every(Boolean)) {
                return ports;
            }
        }
    }
}

/** Sends a request to a host and returns its outcome. */
export function send(daemon: FleetHost, request: ClientRequest): Promise<ClientAnswer> {
    const startedMs = performance.now();
    return new Promise((resolve) => {
        const resolveWith = (status: number, headers: http.IncomingHttpHeaders, body: string) => {
            resolve({ status, headers, body, tookMs: performance.now() - startedMs });
        };
        const outgoing = http.request({
            host, port: daemon.clientPort, path: request.path, method: request.method ?? "GET", agent: request.agent,
            headers: {
                "Host": "fleet.example", "Request-Id": request.id, "Deadline-Ms": String(request.budgetMs ?? defaultBudgetMs),
                ...request.key === undefined ? {} : { "Shard-Key": String(request.key) }, ...request.headers,
            },
        }, (response) => {
            let body = "";
            response.on("data", (chunk: Buffer) => {
                body += chunk.toString();
            });
            response.on("error", () => undefined);
            response.on("close", () => {
                resolveWith(response.complete ? response.statusCode ?? 0 : 0, response.headers, body);
            });
        });
        outgoing.on("error", () => {
            resolveWith(0, {}, "");
        });
        setTimeout(() => {
            resolveWith(unansweredStatus, {}, "");
        }, (request.budgetMs ?? defaultBudgetMs) + answerToleranceMs).unref();
        outgoing.end(request.body);
    });
}

/** Tells whether the process of a host has ended. */
export function hasEnded({ child }: FleetHost): boolean {
    return typeof child.exitCode === "number" || typeof child.signalCode === "string";
}

/** Asks a host whether it accepts requests of clients. */
export async function isReady(daemon: FleetHost): Promise<boolean> {
    return new Promise((resolve) => {
        http.get({ host, port: daemon.readyPort, path: "/" }, (response) => {
            response.resume();
            resolve(response.statusCode === 200);
        }).on("error", () => {
            resolve(false);
        });
    });
}

/** Fetches an admin page of a host. */
export async function fetchAdminPage(daemon: FleetHost, path: string): Promise<string> {
    const response = await fetch(`http://${host}:${String(daemon.adminPort)}${path}`);
    return response.text();
}

export function sleep(durationMs: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, durationMs));
}

function isFree(port: number): Promise<boolean> {
    return new Promise((resolve) => {
        const probe = net.createServer();
        probe.once("error", () => {
            resolve(false);
        });
        probe.listen(port, host, () => {
            probe.close(() => {
                resolve(true);
            });
        });
    });
}
