/**
 * Plays a small deployment in which some servers send bytes that are no answer, and checks that requests get an answer at the route's
 * timeout.
 */
import { call, runCase, sleep } from "./fleet.mjs";
import { startServer } from "./server.mjs";

const serverCount = 5;
const hostCount = 2;
const workMs = 60;
const requestsPerSecond = 90;
const playMs = 26_000;

/** The trouble: its largest dose on the site is share 0.6, x 0.03, for 5 s. At no time is a larger share of a server's answers odd. */
const faultyServerCount = 3;
const maxOddShare = 0.03;
const troubleFromMs = 4_000;
const troubleForMs = 5_000;

const routes = {
    safe: { path: "/sweep/", method: "GET", timeoutMs: 2_000, budgetMs: 4_000 },
    unsafe: { path: "/store/", method: "POST", timeoutMs: 2_000, budgetMs: 4_000 },
};

/** A request without an answer this long after its route's timeout is late. */
const lateAfterMs = 500;

/** An idempotent request that the node has not read after this time is abandoned by its client; so no one waits for it any longer. */
const abandonMs = 1_000;

/** Fewer late requests than this show nothing. */
const minLateCount = 8;

const configuration = {
    version: "r1",
    routes: {
        columns: ["name", "host", "path_prefix", "route_type", "timeout_ms", "target_latency_ms", "priority", "service", "max_attempts"],
        rows: Object.entries(routes).map(([kind, { path, timeoutMs }]) =>
            [`route-${kind}`, "review.example", path, kind, timeoutMs, 600, 2, "meterlog", 2]),
    },
    services: { columns: ["name", "health_check_path", "max_connections"], rows: [["meterlog", "/health", 110]] },
    limits: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
};

/** Sends a request as a client does; resolves once it has its final answer, or the client has left. */
async function sendRequest(host, kind, number, record) {
    const { path, method, budgetMs } = routes[kind];
    const id = `${kind}-${String(number)}`;
    const sentMs = performance.now();
    const outcome = await call({
        address: host.front, method, path: `${path}${String(number)}`, timeoutMs: 2 * budgetMs, leaveMs: budgetMs,
        headers: { "Host": "review.example", "Request-Id": id, "Deadline-Ms": String(budgetMs) }, body: method === "POST" ? "order" : undefined,
    }).then(({ status }) => ({ status }), (error) => ({ error: error.message }));
    const tookMs = performance.now() - sentMs;
    record("request", { id, host: host.name, ...outcome, tookMs: Math.round(tookMs) });
    return { id, kind, ...outcome, tookMs };
}

/** Asks each host once a second whether it is ready, as the platform does. */
async function probeReadiness(fleet, record, isOver) {
    while (!isOver()) {
        await Promise.all(fleet.hosts.map(async (host) => {
            const isReady = await fleet.isReady(host);
            if (!isReady) {
                record("not ready", { host: host.name });
            }
        }));
        await sleep(1_000);
    }
}

function isRuleBroken(results, record) {
    const counted = results.filter(({ kind, error }) => kind === "unsafe" || error === undefined);
    const unanswered = counted.filter(({ kind, tookMs }) => tookMs > routes[kind].timeoutMs);
    const late = unanswered.filter(({ kind, tookMs }) => tookMs > routes[kind].timeoutMs + lateAfterMs);
    record("result", {
        requests: results.length, ok: results.filter(({ status }) => status === 200).length,
        unansweredAtTimeout: unanswered.length, unansweredHalfASecondLater: late.length,
        safeAbandonedAfterOneSecond: results.filter(({ kind, error, tookMs }) => kind === "safe" && error !== undefined && tookMs > abandonMs).length,
    });
    return late.length >= minLateCount && late.length * 2 > unanswered.length;
}

/**
 * Plays the case.
 * @param folder folder of the case
 * @param oddAnswer returns the bytes that a faulty server sends in place of its answer, or a function that writes them to its socket
 */
export function playOddAnswers(folder, oddAnswer) {
    return runCase(folder, async (fleet, record, hasTrouble) => {
        await fleet.startStore();
        await fleet.publish(configuration);
        let troubleStartMs = Number.POSITIVE_INFINITY;
        const counts = [];
        for (let index = 0; index < serverCount; index++) {
            const count = { server: index, answers: 0, odd: 0 };
            counts.push(count);
            const answer = (request) => {
                const sinceMs = performance.now() - troubleStartMs;
                if (!hasTrouble || index >= faultyServerCount || sinceMs < 0 || sinceMs > troubleForMs) {
                    return undefined;
                }
                count.answers += 1;
                if (count.odd + 1 > maxOddShare * count.answers) {
                    return undefined;
                }
                count.odd += 1;
                return oddAnswer(request);
            };
            await startServer({ id: `server-${String(index)}`, service: "meterlog", workMs, fleet, record, answer });
        }
        for (let index = 0; index < hostCount; index++) {
            (await fleet.addHost(index)).run();
        }
        for (const host of fleet.hosts) {
            await fleet.waitUntil(`${host.name} serves`, async () =>
                (await fleet.isReady(host)) && (await sendRequest(host, "safe", "warm-up", () => undefined)).status === 200);
        }
        const startMs = performance.now();
        troubleStartMs = startMs + troubleFromMs;
        let isOver = false;
        void probeReadiness(fleet, record, () => isOver);
        const pending = [];
        for (let number = 0; performance.now() - startMs < playMs; number++) {
            const kind = number % 4 < 2 ? "safe" : "unsafe";
            pending.push(sendRequest(fleet.hosts[number % hostCount], kind, number, record));
            await sleep(startMs + (number + 1) * 1_000 / requestsPerSecond - performance.now());
        }
        const results = await Promise.all(pending);
        isOver = true;
        record("answers in the time of the trouble", { counts: counts.slice(0, faultyServerCount) });
        return isRuleBroken(results, record);
    });
}
