/** Checks of a soak run: one owner of a key at a time, and answers that agree with what the servers ran. */
import type { Fleet, FleetHost } from "../fleet/fleet.js";
import { isReady, paths, send, sleep } from "../fleet/fleet.js";
import type { SoakReport } from "./soakReport.js";

const ownerCheckPeriodMs = 15;

/**
 * Two servers that hold a key at once for longer than this are a violation. Shorter overlaps are tolerated, since the stand-ins'
 * timers depend on their event loop.
 */
const maxOwnerOverlapMs = 120;

/** A host may say that it is ready and take no new connection for at most this long. */
const maxFalselyReadyMs = 3_000;

/** Time that a client of the check allows for an answer on a new connection; any answer shows that it was taken. */
const newConnectionMs = 1_000;

const readinessCheckPeriodMs = 100;

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

/**
 * Records a violation for each host that says it is ready and takes no new connection for `maxFalselyReadyMs`.
 * @param signal ends the check
 */
export async function checkReadyHosts(fleet: Fleet, report: SoakReport, signal: AbortSignal): Promise<void> {
    const untakenSinceMs = new Map<FleetHost, number>();
    const checkHost = async (host: FleetHost, id: string) => {
        const startedMs = performance.now();
        const [ready, { status }] = await Promise.all([
            Promise.race([isReady(host), sleep(newConnectionMs).then(() => false)]),
            send(host, { id, path: `${paths.list}x`, budgetMs: newConnectionMs }),
        ]);
        const sinceMs = ready && status <= 0 ? untakenSinceMs.get(host) ?? startedMs : undefined;
        if (sinceMs === undefined) {
            untakenSinceMs.delete(host);
            return;
        }
        untakenSinceMs.set(host, sinceMs);
        if (performance.now() - sinceMs > maxFalselyReadyMs) {
            report.violations.push(`${((sinceMs - report.startedMs) / 1_000).toFixed(2)} ${host.name} is ready and takes no new connection`);
            untakenSinceMs.delete(host);
        }
    };
    for (let round = 0; !signal.aborted; round += 1) {
        await Promise.all(fleet.hosts.map((host) => checkHost(host, `new-${host.name}-${String(round)}`)));
        await sleep(readinessCheckPeriodMs);
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
