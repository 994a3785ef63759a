/**
 * A small deployment for the scripts of the review: the project's stand-in of the store and its hosts as separate processes, started with
 * the command of the deploy file, and servers that run in the script's own process.
 */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

const startTimeoutMs = 20_000;
const pollMs = 100;

export const configurationTopic = "keyed.op";
export const serversTopic = "keyed.servers";

export function sleep(durationMs) {
    return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Writes the record of a script: one line an event, with the time since the start. */
export function createRecord(path) {
    const startedMs = performance.now();
    writeFileSync(path, "");
    return (event, details = {}) => {
        appendFileSync(path, `${((performance.now() - startedMs) / 1_000).toFixed(3)} ${event} ${JSON.stringify(details)}\n`);
    };
}

function freePort(host) {
    return new Promise((resolve, reject) => {
        const server = net.createServer();
        server.once("error", reject);
        server.listen(0, host, () => {
            const { port } = server.address();
            server.close(() => {
                resolve(port);
            });
        });
    });
}

/** Loopback addresses that depend on the process, so that two scripts don't share the fixed admin port. */
function loopbackAddress(index) {
    return `127.${String(10 + process.pid % 200)}.${String(1 + Math.floor(process.pid / 200) % 250)}.${String(1 + index)}`;
}

/** Returns the words of the command that the deploy file states for a host. */
function hostCommand() {
    const text = readFileSync("deploy/system.toml", "utf8");
    const command = /^run = "(.*)"$/m.exec(text)?.[1];
    if (command === undefined) {
        throw new Error("deploy/system.toml states no command");
    }
    return command.split(" ");
}

/** Sends a call and resolves to its status and body; rejects if there is no answer. */
export function call({ address, method = "GET", path, headers = {}, body, timeoutMs = 5_000, leaveMs, agent = false }) {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
        const request = http.request({ host, port: Number(port), method, path, headers, agent, timeout: timeoutMs }, (response) => {
            const pieces = [];
            response.on("data", (piece) => pieces.push(piece));
            response.on("end", () => {
                resolve({ status: response.statusCode, headers: response.headers, body: Buffer.concat(pieces) });
            });
            response.on("error", reject);
        });
        if (leaveMs !== undefined) {
            setTimeout(() => request.destroy(new Error("client left")), leaveMs);
        }
        request.on("timeout", () => request.destroy(new Error("no answer in time")));
        request.on("error", reject);
        request.end(body);
    });
}

/** A deployment that ends all that it started when `stop` is called. */
export class Fleet {
    folder = mkdtempSync(join(tmpdir(), "review-"));
    children = [];
    hosts = [];

    constructor(record) {
        this.record = record;
    }

    start(words, name, environment = {}) {
        const log = openSync(join(this.folder, `${name}.log`), "a");
        const [program, ...args] = words;
        const child = spawn(program === "node" ? process.execPath : program, args, {
            env: { PATH: process.env.PATH, ...environment }, stdio: ["ignore", log, log],
        });
        this.children.push(child);
        child.on("exit", (code, signal) => {
            this.record("process ended", { name, code, signal });
        });
        this.record("process started", { name, pid: child.pid });
        return child;
    }

    async startStore() {
        const port = await freePort("127.0.0.1");
        this.storeAddress = `127.0.0.1:${String(port)}`;
        this.store = this.start(["node", "target/hornbeam-standin.cjs", "store", "--port", String(port)], "store");
        await this.waitUntil("the store answers", () => this.put("keyed.review", "hello", {}).then(() => true));
    }

    /** Writes a record on behalf of an operator or a server. */
    async put(topic, key, value) {
        const query = new URLSearchParams({ topic, key }).toString();
        const body = value === undefined ? "" : JSON.stringify(value);
        return call({ address: this.storeAddress, method: "POST", path: `/stand-in/put?${query}`, body });
    }

    async publish(configuration) {
        await this.put(configurationTopic, "config", configuration);
        this.record("configuration written", { version: configuration.version });
    }

    /** Prepares a host; `run` starts its process, also again. */
    async addHost(index) {
        const ip = loopbackAddress(index);
        const front = `${ip}:${String(await freePort(ip))}`;
        const ready = `${ip}:${String(await freePort(ip))}`;
        const peerPort = await freePort(ip);
        const file = join(this.folder, `host-${String(index)}.toml`);
        const writeSettings = (isFirstStart) => writeFileSync(file, [
            `node_name = "host-${String(index)}"`, "role = \"hornbeam-host\"", "machine_class = \"front\"", "serves = [\"front\"]",
            `ip = "${ip}"`, "zone = \"here\"", "region = \"here\"", `internal_port_range = [${String(peerPort)},${String(peerPort + 1)}]`,
            `bootstrap = ${String(isFirstStart)}`, "heartbeat_ms = 500",
            "bounds = [\"drain_ms=2000\",\"grace_s=6\",\"retry_budget_ratio=0.2\",\"budget_window_s=10\",\"budget_extra_retries=56\",\"hold_max_ms=10000\"]",
            "[listen]", `front = "${front}"`, `ready = "${ready}"`,
            "[limits]", "cpu_share = 0.54", "cpu_cores = 1", "memory_mb = 350", "max_fds = 4100",
            "[platform]", `address = "${this.storeAddress}"`, "form = \"log\"",
        ].join("\n"));
        const host = { name: `host-${String(index)}`, front, ready, child: undefined, run: (isFirstStart = true) => {
            writeSettings(isFirstStart);
            host.child = this.start(hostCommand(), host.name, { HORNBEAMSWITCH_BOOT: file });
            return host.child;
        } };
        this.hosts.push(host);
        return host;
    }

    async waitUntil(what, isMet, timeoutMs = startTimeoutMs) {
        const startedMs = performance.now();
        while (!await isMet().catch(() => false)) {
            if (performance.now() - startedMs > timeoutMs) {
                throw new Error(`timed out while waiting until ${what}`);
            }
            await sleep(pollMs);
        }
    }

    isReady({ ready }) {
        return call({ address: ready, path: "/hornbeamswitch/ready", timeoutMs: 1_000 }).then(({ status }) => status === 200, () => false);
    }

    async stop() {
        const running = this.children.filter((child) => (child.exitCode ?? child.signalCode ?? undefined) === undefined);
        await Promise.all(running.map((child) => new Promise((resolve) => {
            child.once("exit", resolve);
            child.kill("SIGKILL");
        })));
        if (process.env.KEEP !== "1") {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }
}

/** Runs a script: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(folder, play) {
    const record = createRecord(join(folder, "record.txt"));
    const fleet = new Fleet(record);
    let exitCode = 2;
    const limit = setTimeout(() => {
        record("given up", { why: "time limit of the script" });
        void fleet.stop().finally(() => process.exit(2));
    }, 115_000);
    try {
        const isBroken = await play(fleet, record, process.env.TROUBLE !== "0");
        exitCode = isBroken ? 1 : 0;
        record(isBroken ? "rule broken" : "rule held");
    }
    catch (error) {
        record("could not run", { why: error instanceof Error ? error.stack : String(error) });
    }
    clearTimeout(limit);
    await fleet.stop();
    process.stdout.write(`${exitCode === 1 ? "rule broken" : exitCode === 0 ? "rule held" : "could not run"}; see ${join(folder, "record.txt")}\n`);
    process.exit(exitCode);
}
