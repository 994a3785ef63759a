/**
 * Servers leave while the store gives no answer for a moment, and the orders to release their keys are carried out late. Checks that no two
 * servers hold the same key.
 */
import { runCase, sleep } from "../common/fleet.mjs";
import { startKeyServer } from "../common/keyServer.mjs";
import { sampleCount, startTraffic, watchHolders } from "../common/keyLoad.mjs";

const serverCount = 8;
const hostCount = 3;

/** The store gives no answer for this long. */
const silentMs = 1_700;

/** The servers leave this long after its last answer. */
const leaveAfterMs = 850;
const leavingCount = 2;

/** They serve on for this long (`drain_ms` of 2 s, and "at times many seconds" more). */
const servesOnMs = 12_000;

/**
 * Releases are carried out this late, and not answered; all other orders are carried out and answered at once. Of the orders that come in
 * this time, these are a smaller share than the largest dose, which the play checks.
 */
const lateByMs = 11_000;
const lateForMs = 5_500;
const largestLateShare = 0.3;

const rounds = 6;
const roundMs = 14_500;
const requestPeriodMs = 5;

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

function countOrders(servers, counter) {
    return servers.reduce((sum, { state }) => sum + state[counter], 0);
}

await runCase("review/1", async (fleet, record, hasTrouble) => {
    const stopsStore = hasTrouble && process.env.TROUBLE !== "late";
    const delaysReleases = hasTrouble && process.env.TROUBLE !== "store";
    await fleet.startStore();
    await fleet.publish(configuration);
    const servers = [];
    const addServer = async () => {
        servers.push(await startKeyServer({ id: `server-${String(servers.length)}`, service: "leasedesk", workMs: 60, fleet, record }));
    };
    for (let index = 0; index < serverCount; index++) {
        await addServer();
    }
    for (let index = 0; index < hostCount; index++) {
        (await fleet.addHost(index)).run();
    }
    const traffic = startTraffic(fleet, record, requestPeriodMs);
    await fleet.waitUntil("requests are served", async () =>
        (await Promise.all(Array.from({ length: 3 * hostCount }, () => traffic.send()))).every(({ status }) => status === 200));
    const watch = watchHolders(servers, record);
    void traffic.run();
    await sleep(3_000);
    for (let round = 0; round < rounds && watch.broken.size === 0; round++) {
        const leaving = servers.filter(({ state }) => state.isUp && !state.isDraining).slice(0, leavingCount);
        for (let index = 0; index < leavingCount; index++) {
            await addServer();
        }
        await sleep(2_000);
        const ordersBefore = countOrders(servers, "orderCount");
        const lateBefore = countOrders(servers, "lateOrderCount");
        if (stopsStore) {
            record("the store gives no answer");
            fleet.store.kill("SIGSTOP");
        }
        leaving.forEach(({ state }) => {
            state.lateByMs = (path) => delaysReleases && path.endsWith("/release") ? lateByMs : 0;
        });
        await sleep(leaveAfterMs);
        leaving.forEach((server) => {
            server.drain(servesOnMs);
        });
        await sleep(silentMs - leaveAfterMs);
        if (stopsStore) {
            fleet.store.kill("SIGCONT");
            record("the store answers again");
        }
        await sleep(lateForMs - silentMs);
        leaving.forEach(({ state }) => {
            state.lateByMs = () => 0;
        });
        const lateCount = countOrders(servers, "lateOrderCount") - lateBefore;
        const orderCount = countOrders(servers, "orderCount") - ordersBefore;
        record("orders in the time of the trouble", { orders: orderCount, late: lateCount });
        if (lateCount > largestLateShare * orderCount) {
            throw new Error("more orders were late than the largest dose allows");
        }
        await sleep(roundMs - lateForMs - 2_000);
    }
    traffic.stop();
    watch.stop();
    record("result", {
        keysLookedAt: sampleCount, keysWithTwoHolders: watch.broken.size, longestMs: Math.round(Math.max(0, ...watch.broken.values())),
    });
    return watch.broken.size > 0;
});
