/** The real listener in front of a scripted service, for tests of what clients get from the listener itself. */
import { createHash } from "node:crypto";
import { platformClientDialect } from "../../platform/dialect.js";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import type { ClientCall } from "../../src/entry/clientCall.js";
import type { Denial } from "../../src/entry/clientConnection.js";
import type { ClientHttp } from "../../src/entry/clientHttp.js";
import type { HoldingLimits, ReachedLimit } from "../../src/entry/holdingEnforcement.js";
import { createClientHttp } from "../../src/entry/clientHttp.js";
import type { RouteId, ServiceId } from "../../src/model/names.js";
import type { ClientLimits, RoutingConfig } from "../../src/model/routing.js";
import { createRouteTable } from "../../src/routing/routeTable.js";
import { freePort } from "./listenerClient.js";

const clock = createSystemClock();

/** Path prefix of the only route; its host name is `one.example`. */
export const pathPrefix = "/a/";

/** Limits that the listener starts with in these tests. */
export const limits: ClientLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };

/** Limits on what clients make the listener hold in these tests. */
export const holdingLimits: HoldingLimits = {
    maxBytes: 100_000_000, maxConnections: 1_000, maxPipelined: 8, minBytesPerSecond: 100, stallMs: 5_000, maxOverheadBytes: 65_536,
};

/** For tests that look at none of these events. */
export const ignoredEvents = {
    onLimit: () => undefined, onAcceptBacklog: () => undefined, onAcceptError: () => undefined, doPeersWait: () => false,
};

/** Header by which a request states how the service treats it; see `treatments`. */
export const treatmentHeader = "treatment";

/** Time for which the service works on a request of the treatment `late`. */
const lateMs = 60;

/** Time for which the service works on a request of the treatment `very-late`. */
const veryLateMs = 1_300;

/** Length of an answer that the kernel's buffers don't hold. */
export const largeAnswerBytes = 20_000_000;

/** Part of a streamed answer that is sent at once; the rest follows after `lateMs`. */
const streamedAnswer = "streamed".repeat(4);

async function readWholeBody(call: ClientCall): Promise<Buffer | undefined> {
    const collected = await call.body.collect();
    if (collected !== "too-long") {
        return collected === "broken" ? undefined : collected;
    }
    const pieces: Buffer[] = [];
    for (;;) {
        const piece = await call.body.next();
        if (piece === "broken") {
            return undefined;
        }
        if (piece === undefined) {
            return Buffer.concat(pieces);
        }
        pieces.push(piece);
    }
}

function answerWith(call: ClientCall, text: string): void {
    const body = Buffer.from(text, "latin1");
    call.answer({ status: 200, reasonPhrase: "OK", rawHeaders: [], bodyBytes: body.length }, body);
}

/** What the service answers to a request that it has read whole. */
export function expectedBody(requestId: string, path: string, body: Buffer): string {
    return `${requestId} ${path} ${String(body.length)} ${createHash("sha1").update(body).digest("hex")}`;
}

async function answerAfterReading(call: ClientCall): Promise<void> {
    const body = await readWholeBody(call);
    if (body === undefined) {
        call.refuse({ reason: "body-late", retryAfterMs: undefined });
        return;
    }
    answerWith(call, expectedBody(call.requestId ?? "", call.path, body));
}

async function sendPart(call: ClientCall): Promise<void> {
    await call.awaitTurn();
    call.beginAnswer({ status: 200, reasonPhrase: "OK", rawHeaders: [], bodyBytes: undefined });
    await call.writeAnswer(Buffer.from(streamedAnswer));
}

/** How the service treats a request. */
const treatments: Record<string, (call: ClientCall) => Promise<void>> = {
    /** Refused before the body is read. */
    "refused": (call) => {
        call.refuse({ reason: "no-target", retryAfterMs: 10 });
        return Promise.resolve();
    },
    /** Refused after a small body was read whole, or a long one in part. */
    "refused-while-read": async (call) => {
        await call.body.collect();
        call.refuse({ reason: "quarantined", retryAfterMs: 10 });
    },
    "served": answerAfterReading,
    "timed-out": async (call) => {
        await clock.sleep(lateMs);
        call.refuse({ reason: "timed-out", retryAfterMs: undefined });
    },
    "large": (call) => {
        answerWith(call, "l".repeat(largeAnswerBytes));
        return Promise.resolve();
    },
    "late": async (call) => {
        await clock.sleep(lateMs);
        await answerAfterReading(call);
    },
    /** Takes longer than the time limit for a header section in the tests that send it. */
    "very-late": async (call) => {
        await clock.sleep(veryLateMs);
        await answerAfterReading(call);
    },
    /** Not answered before its client leaves. */
    "never": (call) => new Promise((resolve) => {
        call.clientLeft.addEventListener("abort", () => {
            resolve();
        });
    }),
    /** The answer starts before a long body was read whole; nothing of the rest is read. */
    "answered-early": async (call) => {
        await call.body.collect();
        answerWith(call, `${call.requestId ?? ""} early`);
    },
    "streamed": async (call) => {
        await readWholeBody(call);
        await call.awaitTurn();
        call.beginAnswer({ status: 200, reasonPhrase: "OK", rawHeaders: [], bodyBytes: streamedAnswer.length * 2 });
        await call.writeAnswer(Buffer.from(streamedAnswer));
        await clock.sleep(lateMs);
        await call.writeAnswer(Buffer.from(streamedAnswer));
        call.finishAnswer();
    },
    /** A part of an answer without a length is sent, then the answer can't be completed. */
    "broken-off": async (call) => {
        await sendPart(call);
        // Node.js tells a client of an orderly end if a reset comes right after data.
        await clock.sleep(lateMs);
        call.abortAnswer();
    },
    /** A part of an answer without a length is sent, and nothing more. */
    "part": sendPart,
};

/** Body of an answer to the treatment `streamed`. */
export const streamedBody = streamedAnswer.repeat(2);

/** A running listener. */
export interface ListenerUnderTest {
    clients: ClientHttp;
    port: number;
    /** Ids of the requests that reached the service, in order. */
    servedIds: string[];
    denials: Denial[];
    reachedLimits: ReachedLimit[];
    errors: unknown[];
    /** What the host knows of its limits; true at first. */
    areLimitsConfirmed: boolean;
}

/**
 * Starts the listener.
 * @param initial limits that it gets before it listens, or `none` before the first configuration
 * @param holding limits on what clients make it hold that differ from `holdingLimits`
 */
export async function startListener(
    initial: ClientLimits | "none" = limits, holding: Partial<HoldingLimits> = {},
): Promise<ListenerUnderTest> {
    const routes = createRouteTable({
        version: 1, services: [], limits,
        routes: [{
            routeId: "r" as RouteId, hostName: "one.example", pathPrefix, idempotent: true, timeoutMs: 1_000, targetLatencyMs: 300,
            priority: 1, maxAttempts: 1, backends: [{ serviceId: "s" as ServiceId, weight: 1 }],
        }],
    } satisfies RoutingConfig);
    const servedIds: string[] = [];
    const denials: Denial[] = [];
    const reachedLimits: ReachedLimit[] = [];
    const errors: unknown[] = [];
    const knowledge = { areLimitsConfirmed: true };
    const clients = createClientHttp({
        dialects: [platformClientDialect], clock, areLimitsConfirmed: () => knowledge.areLimitsConfirmed,
        serve: async (call) => {
            if (routes.find(call.hostName, call.path, call.method) === undefined) {
                call.refuse({ reason: "no-route", retryAfterMs: undefined });
                return;
            }
            servedIds.push(call.requestId ?? "");
            const index = call.forwardHeaders.findIndex((name) => name.toLowerCase() === treatmentHeader);
            await treatments[index < 0 ? "served" : call.forwardHeaders[index + 1] ?? ""]?.(call);
        },
        onDenied: (denial) => denials.push(denial),
        holdingLimits: { ...holdingLimits, ...holding },
        onLimit: (reached) => reachedLimits.push(reached),
        onAcceptBacklog: () => undefined,
        doPeersWait: () => false,
        onAcceptError: (error) => errors.push(error),
        onUnexpectedError: (error) => errors.push(error),
    });
    if (initial !== "none") {
        clients.setLimits(initial);
    }
    const port = await freePort();
    (await clients.listen(`127.0.0.1:${String(port)}`, 0))._unsafeUnwrap();
    return Object.assign(knowledge, { clients, port, servedIds, denials, reachedLimits, errors });
}
