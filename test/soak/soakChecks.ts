/** Checks of a soak run: one owner of a key at a time, and answers that agree with what the servers ran. */
import type { Fleet } from "../fleet/fleet.js";
import { sleep } from "../fleet/fleet.js";
import type { SoakReport } from "./soakReport.js";

const ownerCheckPeriodMs = 15;

/**
 * Two servers that hold a key at once for longer than this are a violation. Shorter overlaps are tolerated, since the stand-ins'
 * timers depend on their event loop.
 */
const maxOwnerOverlapMs = 120;

/** Keys whose owners are checked; clients send requests for the same keys. */
export const watchedKeys = Array.from({ length: 32 }, (_, index) => index * 2_114);

/** Statuses that state that the request has not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Tells whether a status says that the request is wrong. */
function isDenial(status: number): boolean {
    return status >= 300 && status < 500 && !notRunStatuses.has(status);
}

/**
 * Records a violation for each key that two servers hold for longer than `maxOwnerOverlapMs`.
 * @param signal ends the check
 */
export async function checkOwners(fleet: Fleet, report: SoakReport, signal: AbortSignal): Promise<void> {
    const overlapSinceMs = new Map<number, number>();
    while (!signal.aborted) {
        const nowMs = performance.now();
        for (const key of watchedKeys) {
            const owners = fleet.holders(key);
            const sinceMs = owners.length > 1 ? overlapSinceMs.get(key) ?? nowMs : undefined;
            if (sinceMs === undefined) {
                overlapSinceMs.delete(key);
                continue;
            }
            overlapSinceMs.set(key, sinceMs);
            if (nowMs - sinceMs > maxOwnerOverlapMs) {
                report.violations.push(`${((nowMs - report.startedMs) / 1_000).toFixed(2)} key ${String(key)} held by ${owners.map(({ id }) => id).join(" and ")}`);
                overlapSinceMs.delete(key);
            }
        }
        await sleep(ownerCheckPeriodMs);
    }
}

/** Compares all answers with the requests that the servers ran. */
export function checkAnswers({ sent, violations }: SoakReport, countRuns: (id: string) => number): void {
    for (const { id, isOrder, answer } of sent) {
        const runs = countRuns(id);
        if (isOrder && runs > 1) {
            violations.push(`order ${id} ran ${String(runs)} times`);
        }
        if (isOrder && notRunStatuses.has(answer.status) && runs > 0) {
            violations.push(`order ${id} was answered ${String(answer.status)}, although it ran`);
        }
        // All requests of a run are proper, by every configuration.
        if (isDenial(answer.status)) {
            violations.push(`${id} was denied with ${String(answer.status)}`);
        }
        if (answer.status === 200 && (answer.headers["response-signature"] !== `signed-${id}` || !answer.body.startsWith(`answer to ${id} `))) {
            violations.push(`${id} got the answer to another request, or an incomplete answer`);
        }
    }
}
