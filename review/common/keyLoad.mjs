/** Traffic on keys, and a watch over who holds them. */
import { call, sleep } from "./fleet.mjs";

const keyCount = 65_536;
const samplePeriodMs = 20;

/** Number of keys that are looked at. */
export const sampleCount = 256;

/** Two servers may hold a key for this long (OWNER). */
const overlapLimitMs = 500;

/** Looks at the holders of some keys again and again. */
export function watchHolders(servers, record) {
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

/** Sends a request on a random key each `requestPeriodMs` until it is stopped. */
export function startTraffic(fleet, record, requestPeriodMs) {
    let isOver = false;
    let number = 0;
    const send = async () => {
        number += 1;
        const kind = number % 4 === 0 ? "order" : "status";
        const id = `${kind}-${String(number)}`;
        const key = Math.floor(Math.random() * keyCount);
        const outcome = await call({
            address: fleet.hosts[number % fleet.hosts.length].front, method: kind === "order" ? "POST" : "GET", path: `/${kind}/x`, leaveMs: 2_500,
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
