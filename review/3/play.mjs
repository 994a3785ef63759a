/**
 * The store comes back from a copy that was taken some seconds ago, before the hosts' first start, and all hosts lose power at that moment.
 * Checks that no two servers hold the same key.
 */
import { call, runCase, sleep } from "../common/fleet.mjs";
import { startKeyServer } from "../common/keyServer.mjs";

const serverCount = 5;
const hostCount = 3;
const keyCount = 65_536;
const sampleCount = 256;
const samplePeriodMs = 20;

/** Two servers may hold a key for this long (OWNER). */
const overlapLimitMs = 500;

const copyAgeMs = 8_000;
const awayMs = 2_000;
const restartAfterMs = 500;
const playAfterMs = 16_000;
const requestPeriodMs = 15;

const configuration = {
    version: "r1",
    routes: {
        columns: ["name", "host", "path_prefix", "route_type", "timeout_ms", "target_latency_ms", "priority", "service", "max_attempts"],
        rows: [
            ["route-status", "review.example", "/status/", "safe", 1_000, 300, 2, "leasedesk", 2],
            ["route-order", "review.example", "/order/", "unsafe", 1_200, 400, 1, "leasedesk", 2],
        ],
    },
    services: { columns: ["name", "health_check_path", "max_connections", "sharded", "warm_s"], rows: [["leasedesk", "/health", 110, true, 2]] },
    limits: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
};

/** Looks at the holders of some keys again and again. */
function watchHolders(servers, record) {
    const keys = Array.from({ length: sampleCount }, (_, index) => Math.floor((index + 0.5) * keyCount / sampleCount));
    const sinceMs = new Map();
    const broken = new Map();
    const timer = setInterval(() => {
        const nowMs = performance.now();
        for (const key of keys) {
            const holders = servers.filter((server) => server.holds(key)).map(({ id }) => id);
            if (holders.length < 2) {
                sinceMs.delete(key);
                continue;
            }
            sinceMs.set(key, sinceMs.get(key) ?? nowMs);
            const forMs = nowMs - sinceMs.get(key);
            if (forMs > overlapLimitMs) {
                if (!broken.has(key)) {
                    record("two holders", { key, holders, forMs: Math.round(forMs) });
                }
                broken.set(key, Math.max(broken.get(key) ?? 0, forMs));
            }
        }
    }, samplePeriodMs);
    return { broken, stop: () => clearInterval(timer) };
}

/** Sends requests on random keys until it is stopped. */
function startTraffic(fleet, record) {
    let isOver = false;
    let number = 0;
    const send = async () => {
        number += 1;
        const kind = number % 4 === 0 ? "order" : "status";
        const id = `${kind}-${String(number)}`;
        const key = Math.floor(Math.random() * keyCount);
        const outcome = await call({
            address: fleet.hosts[number % hostCount].front, method: kind === "order" ? "POST" : "GET", path: `/${kind}/x`, leaveMs: 2_500,
            headers: { "Host": "review.example", "Request-Id": id, "Deadline-Ms": "2000", "Shard-Key": String(key) },
        }).then(({ status }) => ({ status }), (error) => ({ error: error.message }));
        record("request", { id, key, ...outcome });
        return outcome;
    };
    const run = async () => {
        while (!isOver) {
            void send();
            await sleep(requestPeriodMs);
        }
    };
    return { send, run, stop: () => {
        isOver = true;
    } };
}

await runCase("review/3", async (fleet, record, hasTrouble) => {
    const hasDrill = hasTrouble && process.env.TROUBLE !== "power";
    const losesPower = hasTrouble && process.env.TROUBLE !== "drill";
    await fleet.startStore();
    await fleet.publish(configuration);
    const servers = [];
    for (let index = 0; index < serverCount; index++) {
        servers.push(await startKeyServer({ id: `server-${String(index)}`, service: "leasedesk", workMs: 90, fleet, record }));
    }
    await call({ address: fleet.storeAddress, method: "POST", path: "/stand-in/copy" });
    const copiedMs = performance.now();
    record("copy of the store taken");
    for (let index = 0; index < hostCount; index++) {
        (await fleet.addHost(index)).run();
    }
    const traffic = startTraffic(fleet, record);
    await fleet.waitUntil("requests are served", async () =>
        (await Promise.all(Array.from({ length: 3 * hostCount }, () => traffic.send()))).every(({ status }) => status === 200));
    const watch = watchHolders(servers, record);
    void traffic.run();
    await sleep(copiedMs + copyAgeMs - awayMs - performance.now());
    if (hasDrill) {
        record("the store is away");
        await call({ address: fleet.storeAddress, method: "POST", path: `/stand-in/return?away_ms=${String(awayMs)}` });
        await fleet.publish(configuration);
        record("the store is back from its copy", { copyAgeMs: Math.round(performance.now() - copiedMs) });
    }
    if (losesPower) {
        fleet.hosts.forEach(({ child }) => child.kill("SIGKILL"));
        await sleep(restartAfterMs);
        fleet.hosts.forEach((host) => host.run(false));
    }
    await sleep(playAfterMs);
    traffic.stop();
    watch.stop();
    record("result", {
        keysLookedAt: sampleCount, keysWithTwoHolders: watch.broken.size, longestMs: Math.round(Math.max(0, ...watch.broken.values())),
    });
    return watch.broken.size > 0;
});
