/**
 * Produces V8's code cache of the daemon: runs it for some seconds against stand-ins, as a follower and as the coordinator, so that the
 * cache contains the functions that a host uses. The runtime's flags are those of system.toml, since V8 accepts a cache only with the flags
 * with which it was written.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";

const address = "127.0.0.1";
const readyTimeoutMs = 20_000;
const writeTimeoutMs = 10_000;
const sendTimeoutMs = 5_000;
const pollMs = 50;
const requestsPerPhase = 60;
const requestGapMs = 15;
const takeoverMs = 2_500;
const settlingMs = 1_500;
const keyStep = 7_919;

const configuration = {
    version: "r1",
    routes: {
        columns: ["name", "host", "path_prefix", "route_type", "timeout_ms", "target_latency_ms", "priority", "service", "max_attempts"],
        rows: [
            ["read", "warm.example", "/read/", "safe", 3_000, 500, 2, "keyed", 2],
            ["order", "warm.example", "/order/", "unsafe", 3_000, 500, 0, "keyed", 1],
            ["list", "warm.example", "/list/", "safe", 3_000, 800, 2, "plain", 2],
        ],
    },
    services: {
        columns: ["name", "health_check_path", "max_connections", "sharded"],
        rows: [["keyed", "/health", 100, true], ["plain", "/health", 100, undefined]],
    },
    limits: { max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
};

/** Flags of the runtime with which the platform starts the daemon. */
function deployedFlags() {
    const flags = /^run = "node (.*?) \S+\.cjs/m.exec(readFileSync("deploy/system.toml", "utf8"))?.[1];
    if (flags === undefined) {
        throw new Error("system.toml states no flags of the runtime");
    }
    return flags.split(" ");
}

async function freePort() {
    const server = net.createServer().listen(0, address);
    await once(server, "listening");
    const { port } = server.address();
    server.close();
    await once(server, "close");
    return port;
}

/** Sends a request and returns its status, 0 if there was no response. */
function send(port, path, options = {}) {
    return new Promise((resolve) => {
        const request = http.request({ host: address, port, path, timeout: sendTimeoutMs, ...options }, (response) => {
            response.resume().on("close", () => resolve(response.statusCode));
        });
        request.on("timeout", () => request.destroy());
        request.on("error", () => resolve(0));
        request.end(options.body);
    });
}

/**
 * Runs the daemon and writes its code cache.
 * @param codeFile the bundle
 * @param cacheFile file for the cache
 */
export async function writeCodeCache(codeFile, cacheFile) {
    const folder = mkdtempSync(join(tmpdir(), "hornbeam-build-"));
    const children = [];
    const startProcess = (args, options) => {
        const child = spawn(process.execPath, args, { stdio: ["ignore", "ignore", "ignore"], ...options });
        children.push(child);
        return child;
    };
    const startStandIn = async (args) => {
        const child = startProcess(["target/hornbeam-standin.cjs", ...args], { stdio: ["ignore", "pipe", "ignore"] });
        const hasEnded = once(child, "exit").then(() => {
            throw new Error(`the stand-in ${args[0]} ended before it was ready`);
        });
        const [line] = await Promise.race([once(createInterface({ input: child.stdout }), "line"), hasEnded]);
        hasEnded.catch(() => undefined);
        return { child, address: String(line).split(" ").at(-1) };
    };
    const startHost = async (name, storeAddress, args) => {
        const [peer, front, ready, admin] = await Promise.all([freePort(), freePort(), freePort(), freePort()]);
        const settingsFile = join(folder, `${name}.toml`);
        writeFileSync(settingsFile, [
            `node_name = "${name}"`, `ip = "${address}"`, "zone = \"here\"", `internal_port_range = [${peer},${peer}]`, "heartbeat_ms = 300",
            "bounds = [\"drain_ms=2000\",\"grace_s=6\",\"retry_budget_ratio=0.2\",\"budget_extra_retries=20\"]",
            "[listen]", `front = "${address}:${front}"`, `ready = "${address}:${ready}"`,
            "[limits]", "cpu_share = 0.5", "memory_mb = 350", "max_fds = 4000", "[platform]", `address = "${storeAddress}"`,
        ].join("\n"));
        const child = startProcess([...args, "--admin-port", String(admin)], { env: { HORNBEAMSWITCH_BOOT: settingsFile } });
        return { child, front, ready, admin };
    };
    const waitUntilReady = async ({ ready, child }) => {
        for (let waitedMs = 0; await send(ready, "/") !== 200; waitedMs += pollMs) {
            if (waitedMs > readyTimeoutMs || typeof child.exitCode === "number") {
                throw new Error("the daemon did not become ready");
            }
            await sleep(pollMs);
        }
    };
    const sendLoad = async ({ front }) => {
        for (let index = 0; index < requestsPerPhase; index++) {
            const headers = { "Host": "warm.example", "Request-Id": `w-${index}`, "Deadline-Ms": "2000" };
            const keyed = { ...headers, "Shard-Key": String(index * keyStep % 65_536) };
            void send(front, "/read/x", { headers: keyed });
            void send(front, "/order/x", { headers: keyed, method: "POST", body: "{}" });
            void send(front, "/list/x", { headers: { ...headers, "Transfer-Encoding": "chunked" }, method: "POST", body: "x".repeat(3_000) });
            await sleep(requestGapMs);
        }
        await sleep(settlingMs);
    };
    try {
        const store = await startStandIn(["store"]);
        const put = new URLSearchParams({ topic: "keyed.op", key: "config" }).toString();
        const [storeHost, storePort] = store.address.split(":");
        await send(storePort, `/stand-in/put?${put}`, { host: storeHost, method: "POST", body: JSON.stringify(configuration) });
        const startServer = (id, service, isSharded) => startStandIn([
            "server", "--store", store.address, "--id", id, "--service", service, "--sharded", String(isSharded), "--heartbeat-ms", "300",
        ]);
        const [lost] = await Promise.all([
            startServer("k0", "keyed", true), startServer("k1", "keyed", true), startServer("k2", "keyed", true), startServer("p0", "plain", false),
        ]);
        const flags = deployedFlags();
        const first = await startHost("h0", store.address, ["target/hornbeam-host.cjs"]);
        await waitUntilReady(first);
        const warm = await startHost("h1", store.address, [...flags, "deploy/warmHost.cjs", codeFile, cacheFile]);
        await waitUntilReady(warm);
        await sendLoad(warm);
        // The warm host takes over as the coordinator, plans the moves of the keys of a lost target, and gets a follower.
        first.child.kill("SIGKILL");
        await sleep(takeoverMs);
        lost.child.kill("SIGKILL");
        await waitUntilReady(await startHost("h2", store.address, ["target/hornbeam-host.cjs"]));
        await sendLoad(warm);
        await send(warm.admin, "/metrics");
        const ended = once(warm.child, "exit");
        warm.child.kill("SIGUSR2");
        // Without a reference: the build ends with its work, not with this timer.
        await Promise.race([ended, sleep(writeTimeoutMs, undefined, { ref: false })]);
        if (!existsSync(cacheFile)) {
            throw new Error("the daemon did not write its code cache");
        }
    }
    finally {
        for (const child of children) {
            child.kill("SIGKILL");
        }
        rmSync(folder, { recursive: true, force: true });
    }
}
