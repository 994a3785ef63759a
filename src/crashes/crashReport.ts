/** What hosts tell each other about targets whose processes ended, and about the requests that were there. */
import type { ServiceId } from "../model/names.js";
import type { TargetEntry } from "../model/target.js";
import type { Fingerprint, RequestFingerprints } from "./requestFingerprint.js";

/** Limit on the updates that wait; a host that learns of more in a short time lives through a common cause, not through one request. */
const maxWaitingUpdates = 128;

/** One process of a target. A later process of the same target was born later. */
export type TargetProcess = Pick<TargetEntry, "targetId" | "bornWallMs">;

/** Returns a key that no other process has. */
export function processKeyOf({ targetId, bornWallMs }: TargetProcess): string {
    return `${targetId}/${String(bornWallMs)}`;
}

/** What other targets of the same service did when a target's process had ended. */
export interface Survey {
    /** Number of targets asked. */
    asked: number;
    /** Those of them that did not accept a connection. */
    down: readonly TargetProcess[];
}

/** A request that was at a target when its process ended. */
export interface RequestAtCrash extends RequestFingerprints {
    /** Time since it had been sent to the target. */
    sentAgoMs: number;
}

/** The end of a target's process that nobody had announced, with the requests that were there. */
export interface CrashReport extends TargetProcess {
    serviceId: ServiceId;
    /** Time since the process ended. */
    agoMs: number;
    /** Requests that were at the target, as far as the reporting host knows. */
    requests: readonly RequestAtCrash[];
    others: Survey;
}

/** A request with this fingerprint was run to its end by a target. */
export interface CompletionReport {
    fingerprint: Fingerprint;
    /** Time since its end. */
    agoMs: number;
}

/** A part of what is known, or all of it. Applying it twice, or in another order, has no further effect. */
export interface CrashEvidenceUpdate {
    crashes: readonly CrashReport[];
    completions: readonly CompletionReport[];
}

/** Updates that wait to be sent together. What they say about past times stays true however long they wait. */
export class CrashUpdateQueue {
    private waiting: { update: CrashEvidenceUpdate; addedMs: number }[] = [];

    /** Adds an update as it is at `nowMs`, on this host's monotonic clock. */
    add(update: CrashEvidenceUpdate, nowMs: number): void {
        if (this.waiting.length < maxWaitingUpdates) {
            this.waiting.push({ update, addedMs: nowMs });
        }
    }

    /** Takes all updates as one; undefined if there are none. */
    take(nowMs: number): CrashEvidenceUpdate | undefined {
        const taken = this.waiting.map(({ update, addedMs }) => addAge(update, Math.max(0, Math.round(nowMs - addedMs))));
        this.waiting = [];
        return taken.length === 0 ? undefined : {
            crashes: taken.flatMap(({ crashes }) => crashes), completions: taken.flatMap(({ completions }) => completions),
        };
    }
}

function addAge({ crashes, completions }: CrashEvidenceUpdate, ageMs: number): CrashEvidenceUpdate {
    return {
        crashes: crashes.map((crash) => ({
            ...crash, agoMs: crash.agoMs + ageMs,
            requests: crash.requests.map((request) => ({ ...request, sentAgoMs: request.sentAgoMs + ageMs })),
        })),
        completions: completions.map((completion) => ({ ...completion, agoMs: completion.agoMs + ageMs })),
    };
}
