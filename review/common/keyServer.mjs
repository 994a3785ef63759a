/** A server that holds keys: it runs a request only while it holds the request's key, can leave, and can carry out orders late. */
import net from "node:net";
import { serversTopic } from "./fleet.mjs";
import { readRequests, respond } from "./server.mjs";

const heartbeatMs = 500;
const slots = 3;
const maxQueued = 12;

/** Leases by key; times are monotonic milliseconds. */
class Leases {
    leases = [];
    fences = [];

    holds(key, nowMs) {
        return this.leases.some(({ from, to, untilMs }) => from <= key && key <= to && nowMs < untilMs);
    }

    without(list, from, to) {
        return list.flatMap((one) => one.to < from || to < one.from
            ? [one]
            : [{ ...one, to: from - 1 }, { ...one, from: to + 1 }].filter((rest) => rest.from <= rest.to));
    }

    grant({ start_from: from, to, fence, hold_ms: holdMs }, nowMs) {
        if (this.fences.some((one) => one.from <= to && from <= one.to && one.fence > fence)) {
            return false;
        }
        this.fences = [...this.without(this.fences, from, to), { from, to, fence }];
        this.leases = [...this.without(this.leases, from, to), { from, to, untilMs: nowMs + holdMs }];
        return true;
    }

    release({ start_from: from, to }) {
        this.leases = this.without(this.leases, from, to);
    }
}

/**
 * Starts a server.
 * @param options `id`, `service`, `workMs`, `fleet`, `record`
 */
export async function startKeyServer({ id, service, workMs, fleet, record }) {
    const leases = new Leases();
    const running = new Set();
    const releases = [];
    const sockets = new Set();
    let queue = [];
    let sequence = 0;
    const born = Date.now();
    const state = {
        /** How late an order by its path is carried out; 0 for at once. */
        lateByMs: () => 0,
        isDraining: false, isUp: true, orderCount: 0, lateOrderCount: 0,
    };

    const hasWorkOn = ({ start_from: from, to }) => [...running].some(({ key }) => from <= key && key <= to);

    const startWaiting = () => {
        while (running.size < slots && queue.length > 0) {
            const next = queue[0];
            queue = queue.slice(1);
            run(next.socket, next.request);
        }
    };

    const settleReleases = () => {
        for (const release of releases.filter(({ body }) => !hasWorkOn(body))) {
            releases.splice(releases.indexOf(release), 1);
            release.done();
        }
    };

    /** A server that leaves says so in all its answers. */
    const leavingHeaders = () => state.isDraining ? { "Connection": "close", "Server-Leaving": "1" } : {};

    const answerHeaders = (requestId) => ({ "Request-Id": requestId, "Instance-Id": id, ...leavingHeaders() });

    const run = (socket, request) => {
        const requestId = request.headers["request-id"];
        const key = Number(request.headers["shard-key"]);
        if (socket.destroyed) {
            return;
        }
        if (!leases.holds(key, performance.now())) {
            respond(socket, 421, { ...answerHeaders(requestId), "Not-Executed": "1" });
            return;
        }
        const work = { key, requestId };
        running.add(work);
        record("run", { server: id, request: requestId, key });
        const end = () => {
            clearTimeout(timer);
            socket.off("close", end);
            if (running.delete(work)) {
                settleReleases();
                startWaiting();
            }
        };
        const timer = setTimeout(() => {
            end();
            if (socket.destroyed || !state.isUp) {
                return;
            }
            respond(socket, 200, { ...answerHeaders(requestId), "Response-Signature": `signed-${requestId}` }, `answer to ${requestId}`);
        }, workMs);
        socket.on("close", end);
    };

    const onLeaseCall = (socket, { path, body }) => {
        const call = JSON.parse(body.toString());
        const lateByMs = state.lateByMs(path);
        state.orderCount += 1;
        if (lateByMs > 0) {
            state.lateOrderCount += 1;
            // Carried out late and not answered; the time of a grant counts from its arrival.
            const arrivedMs = performance.now();
            record("late", { server: id, path, from: call.start_from, to: call.to, fence: call.fence, lateByMs: Math.round(lateByMs) });
            setTimeout(() => path.endsWith("/grant") ? leases.grant(call, arrivedMs) : leases.release(call), lateByMs);
            return;
        }
        if (path.endsWith("/grant")) {
            const isGranted = leases.grant(call, performance.now());
            record("grant", { server: id, from: call.start_from, to: call.to, fence: call.fence, holdMs: call.hold_ms, isGranted });
            respond(socket, isGranted ? 200 : 409, leavingHeaders());
            return;
        }
        leases.release(call);
        record("release", { server: id, from: call.start_from, to: call.to, fence: call.fence });
        releases.push({ body: call, done: () => {
            respond(socket, 200, { Handover: `handover-${String(call.fence)}`, ...leavingHeaders() });
        } });
        settleReleases();
    };

    const onRequest = (socket, request) => {
        const requestId = request.headers["request-id"];
        const expectedId = request.headers["target-instance"];
        if (expectedId !== undefined && expectedId !== id) {
            respond(socket, 421, { "Instance-Id": id, ...leavingHeaders() });
        }
        else if (request.path.startsWith("/hornbeamswitch/")) {
            onLeaseCall(socket, request);
        }
        else if (request.path === "/health") {
            respond(socket, state.isDraining ? 503 : 200, { "Instance-Id": id, ...leavingHeaders() });
        }
        else if (requestId === undefined) {
            respond(socket, 400, { "Not-Executed": "1", ...leavingHeaders() });
        }
        else if (running.size < slots) {
            run(socket, request);
        }
        else if (queue.length < maxQueued) {
            queue.push({ socket, request });
        }
    };

    const server = net.createServer({ noDelay: true }, (socket) => {
        sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => sockets.delete(socket));
        readRequests(socket, (request) => {
            onRequest(socket, request);
        });
    });
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${String(server.address().port)}`;

    const writeEntry = () => {
        sequence += 1;
        return fleet.put(serversTopic, id, {
            service, address, zone: "here", version: "v1", max_concurrency: slots, state: state.isDraining ? "draining" : "ready",
            warmup_left_ms: 0, sequence, born,
        }).catch(() => undefined);
    };
    await writeEntry();
    const timer = setInterval(writeEntry, heartbeatMs);
    record("server started", { id, address });

    const stop = () => {
        state.isUp = false;
        clearInterval(timer);
        server.close();
        sockets.forEach((socket) => socket.destroy());
    };

    return {
        id, address, state, stop,
        holds: (key) => state.isUp && leases.holds(key, performance.now()),
        /** Reports that it leaves, in its entry and its answers, serves on for some time, and ends. */
        drain: (forMs) => {
            state.isDraining = true;
            record("server drains", { id });
            void writeEntry();
            setTimeout(() => {
                stop();
                record("server ended", { id });
                void fleet.put(serversTopic, id, undefined).catch(() => undefined);
            }, forMs);
        },
    };
}
