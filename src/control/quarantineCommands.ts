/** Commands of hornbeamctl for requests that crash the targets that run them. */
import { ok } from "neverthrow";
import { quarantineReleaseKeyOf } from "../crashes/crashRecords.js";
import type { Fingerprint } from "../crashes/requestFingerprint.js";
import type { CommandResult } from "./output.js";
import { exitCodes } from "./output.js";
import { done, failed, refused } from "./results.js";
import type { ControlSession, HostDump } from "./session.js";

const msPerSecond = 1_000;

function standingsOf({ crashes }: HostDump): NonNullable<HostDump["crashes"]>["standings"] {
    return crashes?.standings ?? [];
}

/** Shows the requests that hosts suspect or refuse. */
export async function list(session: ControlSession): Promise<CommandResult> {
    const reports = await session.reports();
    if (reports.isErr()) {
        return failed(reports.error);
    }
    const rows = reports.value.flatMap(({ hostId, dump }) => dump.isOk()
        ? standingsOf(dump.value).map((standing) => ({ hostId, ...standing }))
        : []);
    const fingerprints = [...new Set(rows.map(({ fingerprint }) => fingerprint))];
    return {
        exitCode: exitCodes.done,
        lines: fingerprints.length === 0
            ? ["No request is suspected of crashing targets."]
            : ["What these requests are is in the hosts' logs: search for the fingerprint in lines \"crashes: attempt lost\"."],
        table: {
            head: ["fingerprint", "standing", "crashes", "seconds left", "targets", "hosts"],
            rows: fingerprints.map((fingerprint) => {
                const known = rows.filter((row) => row.fingerprint === fingerprint);
                const worst = known.find(({ kind }) => kind === "quarantined") ?? known.find(({ kind }) => kind === "trial-due") ?? known[0];
                return [
                    fingerprint, worst?.kind ?? "", worst?.crashCount ?? 0, Math.ceil((worst?.remainingMs ?? 0) / msPerSecond),
                    worst?.targets.join(" ") ?? "", known.length,
                ];
            }),
        },
        json: rows,
    };
}

/**
 * Lets a request run again: crashes until now don't count against it any more.
 * @param session the session
 * @param fingerprint fingerprint of the request
 * @param note author and reason of the decision
 */
export async function release(
    session: ControlSession, fingerprint: string, note: { author: string; reason: string },
): Promise<CommandResult> {
    const reports = await session.reports();
    if (reports.isErr()) {
        return failed(reports.error);
    }
    const isKnown = reports.value.some(({ dump }) =>
        dump.isOk() && standingsOf(dump.value).some((standing) => standing.fingerprint === fingerprint));
    if (!isKnown) {
        return refused(`No running host suspects requests with fingerprint ${fingerprint}; see: hornbeamctl quarantine list`);
    }
    const releasedWallMs = session.clock.now().wallMs;
    const outcome = await session.append(() => ok(relatedFingerprints(session, fingerprint as Fingerprint).map((released) => ({
        key: quarantineReleaseKeyOf(released),
        record: { kind: "quarantine-release" as const, fingerprint: released, releasedWallMs, author: note.author, reason: note.reason },
    }))));
    return outcome.match(
        () => done([`Requests with fingerprint ${fingerprint} may run again; watch them with: hornbeamctl quarantine list`], { fingerprint }),
        failed,
    );
}

/**
 * Lists a fingerprint, and the others of the requests that have it: a request is refused as long as one of its fingerprints is quarantined.
 */
function relatedFingerprints(session: ControlSession, fingerprint: Fingerprint): Fingerprint[] {
    const requests = session.view.ledger.crashes().flatMap((crash) => crash.requests)
        .filter(({ content, exact }) => content === fingerprint || exact === fingerprint);
    return [...new Set([fingerprint, ...requests.flatMap(({ content, exact }) => [content, exact])])];
}
