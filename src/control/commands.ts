/** Commands of hornbeamctl that read or change the configuration. */
import diff from "microdiff";
import { stringify } from "yaml";
import type { Result } from "neverthrow";
import type { Offset } from "../model/ids.js";
import { noOffset } from "../model/ids.js";
import type { Failure } from "../model/failure.js";
import type { ConfigDocument } from "../config/document.js";
import { forbiddenChanges } from "../config/document.js";
import type { ChangeNote } from "../config/edits.js";
import { parseKeyName, withDrain, withMove } from "../config/edits.js";
import { readDocument } from "../config/source.js";
import type { Verdict } from "../platform/fold.js";
import type { CommandResult } from "./output.js";
import { exitCodes } from "./output.js";
import { badInput, done, refused, unreachable, withConfig, withState } from "./results.js";
import type { ControlSession } from "./session.js";

/**
 * Checks a document without publishing it.
 * @param text the document's text
 * @returns every problem with its line and path
 */
export function validate(text: string): CommandResult {
    const read = readDocument(text);
    if (read.isOk()) {
        return done(["The document is valid."], read.value);
    }
    return {
        exitCode: exitCodes.badInput,
        lines: [`${String(read.error.length)} problem(s); nothing was published.`],
        table: { head: ["line", "path", "problem"], rows: read.error.map((problem) => [problem.line, problem.path, problem.message]) },
        json: read.error,
    };
}

/**
 * Publishes a document.
 * @param session the session
 * @param text the document's text
 * @param note who and why
 * @param basedOn offset that the document was based on; the one in force when absent
 * @returns whether it won, or what won instead
 */
export async function publishText(session: ControlSession, text: string, note: ChangeNote, basedOn?: number): Promise<CommandResult> {
    const checked = validate(text);
    if (checked.exitCode !== exitCodes.done) {
        return checked;
    }
    return withState(session, (state) =>
        publishDocument(session, checked.json as ConfigDocument, note, (basedOn ?? state.config?.offset ?? noOffset) as Offset));
}

/**
 * Lets readers start on a log whose older records have expired: on a new platform, or after everything was lost.
 * @param session the session
 * @returns refused while any live host has a configuration in force, or does not answer
 */
export async function begin(session: ControlSession): Promise<CommandResult> {
    const reports = await session.reports();
    if (reports.isErr()) {
        return unreachable(reports.error);
    }
    const inTheWay = reports.value.filter(({ dump: of }) => of.isErr() || of.value.configOffset !== undefined);
    if (inTheWay.length > 0) {
        const names = inTheWay.map(({ host }) => host.hostId).join(", ");
        return refused(`A configuration may be in force on: ${names}. Begin only when no live host has one.`);
    }
    const appended = await session.appendBeginning();
    return appended.match(
        (upTo) => done([`Readers start after offset ${String(upTo)}. Now publish with: hornbeamctl config publish FILE`], { upTo }),
        unreachable,
    );
}

/** Shows the configuration in force. */
export function show(session: ControlSession): Promise<CommandResult> {
    return withConfig(session, (config) => done([stringify(config.document), `Version ${String(config.offset)}.`], config));
}

/**
 * Compares a document with the one in force.
 * @param session the session
 * @param text the document's text
 */
export async function compare(session: ControlSession, text: string): Promise<CommandResult> {
    const checked = validate(text);
    if (checked.exitCode !== exitCodes.done) {
        return checked;
    }
    return withConfig(session, (config) => {
        const next = checked.json as ConfigDocument;
        const changes = diff(config.document, next);
        const forbidden = forbiddenChanges(config.document, next);
        return {
            exitCode: forbidden.length > 0 ? exitCodes.refused : exitCodes.done,
            lines: [`${String(changes.length)} change(s) against version ${String(config.offset)}.`, ...forbidden],
            table: {
                head: ["path", "change", "value"],
                rows: changes.map((change) => [change.path.join("."), change.type, "value" in change ? JSON.stringify(change.value) : ""]),
            },
            json: { basedOn: config.offset, changes, forbidden },
        };
    });
}

/** Lists the versions that were in force. */
export function history(session: ControlSession): Promise<CommandResult> {
    return withState(session, (state) => ({
        exitCode: exitCodes.done,
        lines: [],
        table: {
            head: ["version", "based on", "published", "author", "reason"],
            rows: state.history.map((version) => [
                version.offset, version.basedOn, new Date(version.publishedWallMs).toISOString(), version.author, version.reason,
            ]),
        },
        json: state.history.map(({ offset, basedOn, publishedWallMs, author, reason }) =>
            ({ offset, basedOn, publishedWallMs, author, reason })),
    }));
}

/**
 * Publishes an earlier version again.
 * @param session the session
 * @param offset the earlier version
 * @param note who and why
 */
export function revert(session: ControlSession, offset: number, note: ChangeNote): Promise<CommandResult> {
    return withState(session, (state) => {
        const earlier = state.history.find((version) => version.offset === offset);
        if (earlier === undefined) {
            return refused(`Version ${String(offset)} is not in the history; see: hornbeamctl config history`);
        }
        if (earlier.document === undefined) {
            return refused(`Version ${String(offset)} is too old: its document is not kept any more. Publish its file again.`);
        }
        return publishDocument(session, earlier.document, note, state.config?.offset ?? noOffset);
    });
}

/**
 * Tells where the configuration is in force.
 * @param session the session
 * @param waitMs how long to wait for every live host
 */
export function configStatus(session: ControlSession, waitMs: number): Promise<CommandResult> {
    return withConfig(session, async (config) => {
        const without = await session.hostsWithout(config.offset, waitMs);
        if (without.isErr()) {
            return unreachable(without.error);
        }
        const names = without.value.map(({ host }) => host.hostId);
        if (names.length === 0) {
            return done([`Version ${String(config.offset)} is in force on every live host.`], { version: config.offset, without: [] });
        }
        return {
            exitCode: exitCodes.notEverywhere,
            lines: [
                `Version ${String(config.offset)} is not in force on: ${names.join(", ")}.`,
                "Look at them with: hornbeamctl dump HOST, or wait with: hornbeamctl config status --wait",
            ],
            json: { version: config.offset, without: names },
        };
    });
}

/**
 * Marks a target as one without work, or takes the mark away.
 * @param session the session
 * @param target id of the target
 * @param undo takes the mark away
 * @param note who and why
 */
export function drain(session: ControlSession, target: string, undo: boolean, note: ChangeNote): Promise<CommandResult> {
    return edit(session, note, (document) => withDrain(document, target, !undo));
}

/**
 * Pins the shard of a key to a target.
 * @param session the session
 * @param keyName the key, as `institution/pool/key`
 * @param target id of the target
 * @param note who and why
 */
export function move(session: ControlSession, keyName: string, target: string, note: ChangeNote): Promise<CommandResult> {
    return edit(session, note, (document) => parseKeyName(keyName).andThen((name) => withMove(document, name, target, note)));
}

async function edit(
    session: ControlSession,
    note: ChangeNote,
    change: (document: ConfigDocument) => Result<ConfigDocument, Failure>,
): Promise<CommandResult> {
    return withConfig(session, async (config) => {
        const changed = change(config.document);
        return changed.isErr() ? badInput(changed.error) : publishDocument(session, changed.value, note, config.offset);
    });
}

async function publishDocument(
    session: ControlSession,
    document: ConfigDocument,
    note: ChangeNote,
    basedOn: Offset,
): Promise<CommandResult> {
    if (note.author.trim() === "" || note.reason.trim() === "") {
        return badInput({ kind: "invalid", step: "publish", peer: "command line", message: "--author and --reason must not be empty" });
    }
    const verdict = await session.publish(document, basedOn, note);
    return verdict.match((of) => verdictResult(session, of), unreachable);
}

function verdictResult(session: ControlSession, verdict: Verdict): CommandResult {
    if (verdict.accepted) {
        return done([
            `Version ${String(verdict.offset)} won and is taking hold.`,
            "Wait for every host with: hornbeamctl config status --wait",
        ], verdict);
    }
    if (verdict.why !== undefined) {
        return { ...refused(`Not accepted: ${verdict.why}`), json: verdict };
    }
    const winner = session.state.history.find((version) => version.offset === verdict.wonBy);
    return {
        exitCode: exitCodes.refused,
        lines: [
            `Another change won: version ${String(verdict.wonBy)} by ${winner?.author ?? "unknown"}, because: ${winner?.reason ?? "unknown"}.`,
            "Look at it with: hornbeamctl config diff FILE, and publish again based on it.",
        ],
        json: { verdict, winner: { offset: winner?.offset, author: winner?.author, reason: winner?.reason } },
    };
}
