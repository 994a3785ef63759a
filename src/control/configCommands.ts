/** Commands of hornbeamctl that read and change the project's own configuration document. */
import diff from "microdiff";
import { err, ok } from "neverthrow";
import { stringify } from "yaml";
import type { ConfigDocument } from "../config/documentSchema.js";
import { parseConfigDocument } from "../config/documentParser.js";
import { failure } from "../model/failure.js";
import type { DocumentRecord } from "../ownership/ledgerRecords.js";
import { documentKeyOf } from "../ownership/ledgerRecords.js";
import type { CommandResult } from "./output.js";
import { exitCodes } from "./output.js";
import { done, failed, refused } from "./results.js";
import type { ControlSession } from "./session.js";

/** Number of document versions that the ledger keeps. */
const keptVersions = 10;

const pollIntervalMs = 250;

/** Author of a change and the reason for it. */
export interface ChangeNote {
    author: string;
    reason: string;
}

/**
 * Validates a document without publishing it.
 * @param text the document in YAML or JSON
 * @returns a result that lists every problem with its line and path
 */
export function validate(text: string): CommandResult {
    const parsed = parseConfigDocument(text);
    if (parsed.isOk()) {
        return done(["The document is valid."], parsed.value);
    }
    return {
        exitCode: exitCodes.badInput,
        lines: [`${String(parsed.error.length)} problem(s); nothing was published.`],
        table: { head: ["line", "path", "problem"], rows: parsed.error.map((problem) => [problem.line, problem.path, problem.message]) },
        json: parsed.error,
    };
}

/**
 * Validates and publishes a document.
 * @param session the session
 * @param text the document in YAML or JSON
 * @param note author and reason
 * @param basedOn version that the document was derived from. The command is refused if another version is in force; without
 * `basedOn` there is no such check.
 */
export async function publish(session: ControlSession, text: string, note: ChangeNote, basedOn?: number): Promise<CommandResult> {
    const checked = validate(text);
    return checked.exitCode === exitCodes.done ? publishDocument(session, checked.json as ConfigDocument, note, basedOn) : checked;
}

/** Shows the newest version of the document. */
export function show(session: ControlSession): Promise<CommandResult> {
    return withNewest(session, (newest) => done([stringify(newest.document), `Version ${String(newest.version)}.`], newest));
}

/**
 * Lists the differences between a document and the newest published version.
 * @param session the session
 * @param text the document in YAML or JSON
 */
export async function compare(session: ControlSession, text: string): Promise<CommandResult> {
    const checked = validate(text);
    if (checked.exitCode !== exitCodes.done) {
        return checked;
    }
    return withNewest(session, (newest) => {
        const changes = diff(newest.document, checked.json as ConfigDocument);
        return {
            exitCode: exitCodes.done,
            lines: [`${String(changes.length)} change(s) against version ${String(newest.version)}.`],
            table: {
                head: ["path", "change", "value"],
                rows: changes.map((change) => [change.path.join("."), change.type, "value" in change ? JSON.stringify(change.value) : ""]),
            },
            json: { basedOn: newest.version, changes },
        };
    });
}

/** Lists the versions that the ledger keeps, newest first. */
export function history(session: ControlSession): Promise<CommandResult> {
    return withNewest(session, () => {
        const versions = session.view.ledger.documents();
        return {
            exitCode: exitCodes.done,
            lines: [],
            table: {
                head: ["version", "based on", "published", "author", "reason"],
                rows: versions.map(({ version, basedOn, publishedWallMs, author, reason }) =>
                    [version, basedOn, new Date(publishedWallMs).toISOString(), author, reason]),
            },
            json: versions,
        };
    });
}

/**
 * Publishes an earlier version again.
 * @param session the session
 * @param version the earlier version
 * @param note author and reason
 */
export function revert(session: ControlSession, version: number, note: ChangeNote): Promise<CommandResult> {
    return withNewest(session, (newest) => {
        const earlier = session.view.ledger.documents().find((one) => one.version === version);
        return earlier === undefined
            ? refused(`Version ${String(version)} is not kept; see: hornbeamctl config history`)
            : publishDocument(session, earlier.document, note, newest.version);
    });
}

/**
 * Lists the hosts on which the newest version is not in force yet.
 * @param session the session
 * @param waitMs longest time to wait until all hosts have applied it
 */
export function status(session: ControlSession, waitMs: number): Promise<CommandResult> {
    return withNewest(session, async ({ version }) => {
        const deadlineMs = session.clock.now().monoMs + waitMs;
        for (;;) {
            const reports = await session.reports();
            if (reports.isErr()) {
                return failed(reports.error);
            }
            const without = reports.value
                .filter(({ dump }) => dump.isErr() || dump.value.configVersion !== version)
                .map(({ hostId }) => hostId);
            if (without.length === 0) {
                return done([`Version ${String(version)} is in force on every running host.`], { version, without });
            }
            if (session.clock.now().monoMs >= deadlineMs) {
                return {
                    exitCode: exitCodes.notEverywhere,
                    lines: [
                        `Version ${String(version)} is not in force on: ${without.join(", ")}.`,
                        "Inspect them with: hornbeamctl dump HOST, or wait with: hornbeamctl config status --wait",
                    ],
                    json: { version, without },
                };
            }
            await session.clock.sleep(pollIntervalMs);
        }
    });
}

async function publishDocument(
    session: ControlSession, document: ConfigDocument, note: ChangeNote, basedOn: number | undefined,
): Promise<CommandResult> {
    if (note.author.trim() === "" || note.reason.trim() === "") {
        return failed(failure("invalid", "publish", "command line", "--author and --reason must not be empty"));
    }
    let published = 0;
    const outcome = await session.append(() => {
        const kept = session.view.ledger.documents();
        const newest = kept[0]?.version ?? 0;
        if (basedOn !== undefined && basedOn !== newest) {
            return err(failure("refused", "publish", "ledger", describeVersionInForce(kept[0])));
        }
        published = newest + 1;
        const record: DocumentRecord = {
            kind: "document", version: published, basedOn: newest, document, ...note, publishedWallMs: session.clock.now().wallMs,
        };
        const dropped = kept.slice(keptVersions - 1).map(({ version }) => ({ key: documentKeyOf(version), record: undefined }));
        return ok([{ key: documentKeyOf(published), record }, ...dropped]);
    });
    return outcome.match(
        () => done([
            `Version ${String(published)} is published; the hosts are applying it.`,
            "Wait for every host with: hornbeamctl config status --wait",
        ], { version: published }),
        failed,
    );
}

function describeVersionInForce(inForce: DocumentRecord | undefined): string {
    return `version ${String(inForce?.version ?? 0)} by ${inForce?.author ?? "nobody"} is in force, because: ${inForce?.reason ?? ""};`
        + " compare with: hornbeamctl config diff FILE, and publish again based on it";
}

async function withNewest(
    session: ControlSession, use: (newest: DocumentRecord) => CommandResult | Promise<CommandResult>,
): Promise<CommandResult> {
    const readResult = await session.read();
    if (readResult.isErr()) {
        return failed(readResult.error);
    }
    const newest = session.view.ledger.documents()[0];
    return newest === undefined
        ? refused("No document has been published; publish one with: hornbeamctl config publish FILE")
        : use(newest);
}
