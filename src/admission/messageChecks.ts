/**
 * Checks messages of other hosts for admission, which may run another version of the router. A single value that is no number would stay
 * in a queue's state: a request without a proper deadline would wait forever, and an odd work time would spoil the order of all others.
 */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { StatedRateLimit } from "../model/rateLimit.js";
import type { AgedTargetLoad } from "../model/targetLoad.js";
import { maxReportedPercent, maxReportedRequests } from "../model/targetLoad.js";
import { describeFoundValue } from "../model/schemaIssues.js";
import { isId } from "../model/valueSchemas.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { QueueRefusalReason } from "./admissionRequest.js";
import type { EnterParams, EnterReply, LeaveParams, WithdrawParams } from "./messages.js";
import type { WorkEnd } from "./workEnd.js";

/** Limits on lists in messages, and on a rate that a target may state. */
const maxAvoided = 10_000;
const maxRateLimits = 10_000;
const maxRequestsPerSecond = 1_000_000_000;

/** Minimum time between two lines about messages that can't be meant; a host may send thousands a second. */
const logGapMs = 1_000;

/** Longest time, and longest time left until a deadline or since it has passed. */
const maxDurationMs = 1_000_000_000;

/** Largest number of characters of an id or a name. */
const maxNameChars = 128;
const maxPriority = 1_000_000;
const maxCaller = 0xffff_ffff;

type ValueCheck = (value: unknown) => boolean;

/** A check of each field of a message. Not a schema, which takes ten times as long: each request needs three of these messages. */
type FieldChecks<T> = { readonly [Field in keyof Required<T>]: ValueCheck };

/** Returns the checks that apply to an object; undefined if there are none for it. */
type FieldsOf = (object: object) => Readonly<Record<string, ValueCheck>> | undefined;

const isBetween = (min: number, max: number): ValueCheck => (value) => typeof value === "number" && value >= min && value <= max;
const isOptional = (check: ValueCheck): ValueCheck => (value) => value === undefined || check(value);
const isListOf = (check: ValueCheck, maxLength: number): ValueCheck => (value) =>
    Array.isArray(value) && value.length <= maxLength && value.every(check);
const isAnything: ValueCheck = () => true;

/** Length first, since the search takes time with the length. */
const isName: ValueCheck = (value) =>
    typeof value === "string" && value.length > 0 && value.length <= maxNameChars && !/[\p{Cc}\p{Zl}\p{Zp}]/u.test(value);
const isOptionalName = isOptional(isName);
const isIdText: ValueCheck = (value) => typeof value === "string" && value.length <= maxNameChars && isId(value);
const isDurationMs = isBetween(0, maxDurationMs);
const isLeftMs = isBetween(-maxDurationMs, maxDurationMs);

const isGroup: ValueCheck = (value) => {
    const { kind, targetId, serviceId, dataCentreId } = (value ?? {}) as Readonly<Record<string, unknown>>;
    return kind === "target" ? isIdText(targetId) : kind === "service" && isName(serviceId) && isOptional(isName)(dataCentreId);
};

const rateLimitFields: FieldChecks<StatedRateLimit> = {
    targetId: isIdText, bornWallMs: isBetween(0, Number.MAX_SAFE_INTEGER),
    requestsPerSecond: isBetween(0, maxRequestsPerSecond), ageMs: isDurationMs,
};

const loadFields: FieldChecks<AgedTargetLoad> = {
    running: isBetween(0, maxReportedRequests), waiting: isBetween(0, maxReportedRequests), slots: isBetween(0, maxReportedRequests),
    percent: isOptional(isBetween(0, maxReportedPercent)), ageMs: isDurationMs,
};

const enterFields: FieldChecks<EnterParams> = {
    ticket: isName, sender: isOptional(isName), group: isGroup,
    priority: (value) => Number.isInteger(value) && isBetween(0, maxPriority)(value),
    workMs: isDurationMs, targetLeftMs: isLeftMs, deadlineLeftMs: isLeftMs, maxWaitMs: isOptional(isDurationMs),
    near: isName, avoid: isListOf(isIdText, maxAvoided),
    rateLimits: isOptional(isListOf(isAnything, maxRateLimits)), suspect: isOptional(isIdText),
    caller: isOptional((value) => Number.isInteger(value) && isBetween(0, maxCaller)(value)),
    kind: isAnything,
};

const withdrawFields: FieldChecks<WithdrawParams> = { group: isGroup, ticket: isName };

const endFields: { readonly [Kind in WorkEnd["kind"]]: FieldChecks<Omit<Extract<WorkEnd, { kind: Kind }>, "kind">> } = {
    "answered": { tookMs: isDurationMs },
    "turned-away": { pauseMs: isOptional(isDurationMs) },
    "unreachable": {},
    "lost": {},
    "late": { afterMs: isDurationMs },
    "dropped": {},
};

const refusalReasons: ReadonlySet<unknown> = new Set<QueueRefusalReason>(["overloaded", "rate-limited", "no-target", "paused"]);

const grantedFields: FieldChecks<Extract<EnterReply, { granted: unknown }>> = {
    granted: isIdText, expectedMs: isDurationMs, rateLimited: isOptional((value) => value === true),
};
const refusedFields: FieldChecks<Extract<EnterReply, { refused: unknown }>> = {
    refused: (value) => refusalReasons.has(value), retryAfterMs: isDurationMs, reserved: isOptional((value) => value === true),
};
const unreadyFields: FieldChecks<Extract<EnterReply, { unready: unknown }>> = { unready: (value) => value === true };

/** Returns the checks of a reply by the field that tells its kind. */
function replyFieldsOf(message: object): Readonly<Record<string, ValueCheck>> {
    return "granted" in message ? grantedFields : "refused" in message ? refusedFields : unreadyFields;
}

/** Returns the checks of an end by its kind; undefined if there is no such kind. */
function endFieldsOf(end: object): Readonly<Record<string, ValueCheck>> | undefined {
    const { kind } = end as { kind?: unknown };
    return typeof kind === "string" && Object.hasOwn(endFields, kind) ? endFields[kind as WorkEnd["kind"]] : undefined;
}

/** Describes the first field of a message that can't be meant, in a text of bounded length; undefined if all of them can. */
function findOddField(message: unknown, fieldsOf: FieldsOf): string | undefined {
    const fields = typeof message === "object" && message ? fieldsOf(message) : undefined;
    if (fields === undefined) {
        return `is no such message (found ${describeFoundValue(message)})`;
    }
    for (const field in fields) {
        const value = (message as Record<string, unknown>)[field];
        if (fields[field]?.(value) === false) {
            return `${field} is out of range (found ${describeFoundValue(value)})`;
        }
    }
    return undefined;
}

/** Checks messages of other hosts; `peer` is the address of the host that sent a message. */
export interface AdmissionChecks {
    /** Returns the request for a slot, without a kind or rate limits that can't be meant; a failure names other fields that can't be. */
    enter(message: unknown, peer: string): Result<EnterParams, Failure>;
    /** Returns the end of a request, which counts as never sent if its kind can't be meant; undefined if it is unknown whose end it is. */
    leave(message: unknown, peer: string): LeaveParams | undefined;
    withdraw(message: unknown, peer: string): WithdrawParams | undefined;
    /** Returns the reply to a request for a slot. */
    reply(message: unknown, peer: string): Result<EnterReply, Failure>;
}

/**
 * Creates the checks.
 * @param log gets a line for what is left out, at most one a second
 * @param clock tells when the next line may come
 */
export function createAdmissionChecks(log: Log, clock: Pick<Clock, "now">): AdmissionChecks {
    let nextLineMs = Number.NEGATIVE_INFINITY;
    let unloggedCount = 0;

    const warn = (part: string, peer: string, why: string) => {
        const { monoMs } = clock.now();
        if (monoMs < nextLineMs) {
            unloggedCount += 1;
            return;
        }
        log.warn("message for admission cannot be meant", { peer, part, why, othersSince: unloggedCount });
        nextLineMs = monoMs + logGapMs;
        unloggedCount = 0;
    };

    /** Returns a message of which every field can be meant. */
    const check = <T>(part: string, fieldsOf: FieldsOf, message: unknown, peer: string): Result<T, Failure> => {
        const why = findOddField(message, fieldsOf);
        if (why === undefined) {
            return ok(message as T);
        }
        warn(part, peer, why);
        return err(failure("invalid", "peer-call", peer, `${part}: ${why}`));
    };

    const isLoad = (load: unknown, peer: string) => check("load", () => loadFields, load, peer).isOk();

    const isRateLimit = (limit: unknown, peer: string) => check("rate limit", () => rateLimitFields, limit, peer).isOk();

    const withoutOddParts = ({ kind, rateLimits, ...params }: EnterParams, peer: string): EnterParams => ({
        ...params,
        ...rateLimits === undefined ? {} : { rateLimits: rateLimits.filter((limit) => isRateLimit(limit, peer)) },
        ...isName(kind) ? { kind } : {},
    });

    return {
        enter: (message, peer) => check<EnterParams>("enter", () => enterFields, message, peer).map((params) =>
            params.rateLimits === undefined && isOptionalName(params.kind) ? params : withoutOddParts(params, peer)),
        leave: (message, peer) => check<LeaveParams>("leave", () => withdrawFields, message, peer).map(({ group, ticket, end, rateLimit, load }) => ({
            group, ticket, end: check<WorkEnd>("end", endFieldsOf, end, peer).unwrapOr({ kind: "dropped" as const }),
            ...rateLimit === undefined || !isRateLimit(rateLimit, peer) ? {} : { rateLimit },
            ...load === undefined || !isLoad(load, peer) ? {} : { load },
        })).unwrapOr(undefined),
        withdraw: (message, peer) => check<WithdrawParams>("withdraw", () => withdrawFields, message, peer).unwrapOr(undefined),
        reply: (message, peer) => check<EnterReply>("reply", replyFieldsOf, message, peer),
    };
}
