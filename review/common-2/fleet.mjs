/**
 * Starts a small deployment for the cases of this review: the project's store stand-in, hosts with the command of the deploy file, and
 * target stand-ins within this process. Everything listens on loopback addresses at free ports.
 */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const loopback = "127.0.0.1";
export const repository = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** False if the script plays the same without its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

const heartbeatMs = 500;

/** A script is ended before the time that it may take. */
const maxRunMs = 110_000;

const startTimeoutMs = 20_000;

/** Exit codes of a script. */
export const exitCodes = { held: 0, broken: 1, notRun: 2 };

export const sleep = (durationMs) => new Promise((resolve) => {
    setTimeout(resolve, durationMs);
});

/** Returns ports that are free now. */
export async function freePorts(count) {
    const servers = await Promise.all(Array.from({ length: count }, () => new Promise((resolve, reject) => {
        const server = net.createServer().once("error", reject);
        server.listen(0, loopback, () => {
            resolve(server);
        });
    })));
    const ports = servers.map((server) => server.address().port);
    await Promise.all(servers.map((server) => new Promise((resolve) => {
        server.close(resolve);
    })));
    return ports;
}

/** Finds consecutive free ports: a host listens on both ends of such a range for other hosts and for operators. */
async function freePortPair() {
    for (;;) {
        const [first] = await freePorts(1);
        const isFree = first < 65_000 && await new Promise((resolve) => {
            const server = net.createServer().once("error", () => {
                resolve(false);
            });
            server.listen(first + 1, loopback, () => {
                server.close(() => {
                    resolve(true);
                });
            });
        });
        if (isFree) {
            return [first, first + 1];
        }
    }
}

/** Collects what happened, and writes it to `record.txt` in the folder of the case. */
export function createRecord(caseFolder) {
    const file = join(caseFolder, "record.txt");
    const startMs = Date.now();
    writeFileSync(file, "");
    return (line) => {
        appendFileSync(file, `${String(Date.now() - startMs).padStart(6)} ms  ${line}\n`);
    };
}

/** Reads the words of the `run` line of the deploy file. */
function runCommandOf() {
    const [, words] = /^run = "(.*)"$/m.exec(readFileSync(join(repository, "deploy", "system.toml"), "utf8")) ?? [];
    if (words === undefined) {
        throw new Error("the deploy file has no run line");
    }
    return words.split(" ");
}

/** Returns the text of a settings file, with the fields and bounds of a small deployment. */
function settingsOf({ name, zone, memoryMb, maxFiles, clientPort, readyPort, peerPorts, storeAddress }) {
    return [
        `node_name = "${name}"`, "role = \"hornbeam-host\"", "machine_class = \"front\"", "serves = [\"front\"]", `ip = "${loopback}"`,
        `zone = "${zone}"`, "region = \"region\"", `internal_port_range = [${peerPorts[0]},${peerPorts[1]}]`, "seed_nodes = []",
        "bootstrap = true", "discovery = \"platform\"", "entry_point = \"vip\"", "heartbeat_ms = 870",
        "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"own\",\"platform\"]",
        "bounds = [\"seed_lag_s=3\",\"reuse_after_s=2\",\"stable_window_ms=3000\",\"ack_ms=4000\",\"catch_up_s=4\",\"drain_ms=2000\",\"grace_s=6\","
        + "\"loss_slack_ms=200\",\"config_apply_ms=2000\",\"revert_slack_ms=250\",\"max_stretch_ms=5000\",\"retry_budget_ratio=0.2\","
        + "\"budget_window_s=10\",\"budget_extra_retries=60\",\"recover_s=15\",\"hold_max_ms=10000\",\"thaw_ms=300\"]",
        "grants = \"direct_call\"", "[zones]", `${zone} = "region"`,
        "[listen]", `front = "${loopback}:${clientPort}"`, `ready = "${loopback}:${readyPort}"`,
        "[limits]", "cpu_share = 0.54", "cpu_cores = 1", `memory_mb = ${memoryMb}`, `max_fds = ${maxFiles}`, "link_mbps = 1000.0", "disk_mb = 0",
        "[fault_tolerance]", "machines = 2", "zones = 0", "regions = 0",
        "[platform]", `address = "${storeAddress}"`, "form = \"log\"", "writes_per_s = 400", "reads_per_s = 2000", "parts = 16",
        "append_ms = 3.0", "partition_mb_s = 20.0", "read_mb_s = 80.0", "record_bytes = 262144", "call_bytes = 2097152", "keep_s = 300",
        "part_mb = 200", "ttl_min_ms = 1000", "",
    ].join("\n");
}

/** Makes a call on behalf of the platform, and returns status and body. */
export function callHttp({ port, path, method = "GET", body, timeoutMs = 2_000 }) {
    return new Promise((resolve, reject) => {
        const request = http.request({ host: loopback, port, path, method, timeout: timeoutMs, agent: false }, (response) => {
            const pieces = [];
            response.on("data", (piece) => pieces.push(piece));
            response.on("error", reject);
            response.on("end", () => {
                resolve({ status: response.statusCode, body: Buffer.concat(pieces).toString() });
            });
        });
        request.on("timeout", () => request.destroy(new Error("timed out")));
        request.on("error", reject);
        request.end(body);
    });
}

/** Waits until a condition holds. */
export async function waitUntil(what, isMet, timeoutMs = startTimeoutMs, pollMs = 50) {
    const endMs = Date.now() + timeoutMs;
    while (!await isMet()) {
        if (Date.now() > endMs) {
            throw new Error(`timed out waiting until ${what}`);
        }
        await sleep(pollMs);
    }
}

/** Creates a deployment; `stop` ends all that it has started. */
export function createDeployment(record) {
    const folder = mkdtempSync(join(tmpdir(), "review-2-"));
    const children = new Set();
    const timers = new Set();
    let storePort = 0;

    const start = (command, args, name, environment = {}) => {
        const log = openSync(join(folder, `${name}.log`), "a");
        const child = spawn(command, args, {
            cwd: repository, stdio: ["ignore", log, log], env: { PATH: process.env.PATH, HOME: folder, ...environment },
        });
        children.add(child);
        child.once("exit", (code, signal) => {
            children.delete(child);
            record(`process ${name} ended: ${String(signal ?? code)}`);
        });
        return child;
    };

    const put = async (topic, key, value) => {
        const query = new URLSearchParams({ topic, key }).toString();
        const body = value === undefined ? "" : JSON.stringify(value);
        await callHttp({ port: storePort, path: `/stand-in/put?${query}`, method: "POST", body });
    };

    return {
        folder,
        /** Starts the project's stand-in for the platform's store. */
        startStore: async () => {
            [storePort] = await freePorts(1);
            start(process.execPath, ["target/hornbeam-standin.cjs", "store", "--port", String(storePort)], "store");
            await waitUntil("the store answers", () => callHttp({ port: storePort, path: "/" }).then(() => true, () => false));
        },
        /** Writes the operator's configuration. */
        configure: (configuration) => put("keyed.op", "config", configuration),
        /** Registers a target, and writes its entry at each heartbeat. */
        register: ({ id, service, port, slots = 4, zone = "zone-a" }) => {
            const born = Date.now();
            let sequence = 0;
            const write = () => {
                sequence += 1;
                put("keyed.servers", id, {
                    service, address: `${loopback}:${port}`, zone, version: "v1", max_concurrency: slots, state: "ready", warmup_left_ms: 0,
                    sequence, born,
                }).catch(() => undefined);
            };
            write();
            timers.add(setInterval(write, heartbeatMs));
        },
        /** Starts a host with the command of the deploy file; resolves when it is ready. */
        startHost: async (name, { zone = "zone-a", memoryMb = 350, maxFiles = 4_100 } = {}) => {
            const [clientPort, readyPort, adminPort] = await freePorts(3);
            const peerPorts = await freePortPair();
            const file = join(folder, `${name}.toml`);
            writeFileSync(file, settingsOf({ name, zone, memoryMb, maxFiles, clientPort, readyPort, peerPorts, storeAddress: `${loopback}:${storePort}` }));
            const [program, ...args] = runCommandOf();
            const command = program === "node" ? process.execPath : program;
            const words = args.with(args.indexOf("--admin-port") + 1, String(adminPort));
            const isReady = () => callHttp({ port: readyPort, path: "/hornbeamswitch/ready" }).then(({ status }) => status === 200, () => false);
            const host = {
                name, clientPort, readyPort, adminPort, isReady, child: undefined,
                /** Starts the process, at first and after it has ended; resolves when it is ready. */
                start: async () => {
                    host.child = start(command, words, name, { HORNBEAMSWITCH_BOOT: file });
                    await waitUntil(`${name} is ready`, isReady);
                    record(`host ${name} is ready`);
                },
            };
            await host.start();
            return host;
        },
        /** Ends all processes, and removes the folder. */
        stop: async () => {
            timers.forEach(clearInterval);
            const ended = [...children].map((child) => new Promise((resolve) => {
                child.once("exit", resolve);
            }));
            children.forEach((child) => child.kill("SIGKILL"));
            await Promise.all(ended);
            rmSync(folder, { recursive: true, force: true });
        },
    };
}

/** Returns a configuration with the given routes and services. */
export function configurationOf({ routes, services, limits = {} }) {
    return {
        version: "r1",
        routes: {
            columns: ["name", "host", "path_prefix", "route_type", "timeout_ms", "target_latency_ms", "priority", "service", "max_attempts"],
            rows: routes.map(({ name, type, timeoutMs, latencyMs = 400, priority = 1, service, attempts = 2 }) =>
                [name, "case.example", `/${name}/`, type, timeoutMs, latencyMs, priority, service, attempts]),
        },
        services: {
            columns: ["name", "health_check_path", "max_connections", "sharded"],
            rows: services.map((name) => [name, "/health", 130, false]),
        },
        limits: { max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout_ms: 3_000, idle_timeout_ms: 15_000, ...limits },
    };
}

/** Runs a case, and ends this process with the exit code that it returns. */
export async function runCase(caseFolder, play) {
    const record = createRecord(caseFolder);
    record(hasTrouble ? "with the disruption" : "without the disruption");
    const deployment = createDeployment(record);
    const end = async (code) => {
        await deployment.stop();
        record(`exit code ${String(code)}`);
        process.exit(code);
    };
    const endEarly = (why) => {
        record(`the case ends early: ${why}`);
        void end(exitCodes.notRun);
    };
    setTimeout(endEarly, maxRunMs, "it takes too long");
    process.once("SIGTERM", endEarly);
    process.once("SIGINT", endEarly);
    let code = exitCodes.notRun;
    try {
        code = await play(deployment, record);
    }
    catch (error) {
        record(`the case could not run: ${String(error?.stack ?? error)}`);
    }
    await end(code);
}
