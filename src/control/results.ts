/** How the commands of hornbeamctl get at the system, and how they end. */
import type { Failure } from "../model/failure.js";
import { describeFailure } from "../model/failure.js";
import type { ConfigVersion, FoldedState } from "../platform/fold.js";
import type { CommandResult, ExitCode } from "./output.js";
import { exitCodes } from "./output.js";
import type { ControlSession, HostReport } from "./session.js";

/** Runs a command on the state that the log agrees on. */
export async function withState(
    session: ControlSession,
    use: (state: FoldedState) => CommandResult | Promise<CommandResult>,
): Promise<CommandResult> {
    const state = await session.readState();
    return state.isErr() ? unreachable(state.error) : use(state.value);
}

/** Runs a command on the configuration in force. */
export function withConfig(
    session: ControlSession,
    use: (config: ConfigVersion) => CommandResult | Promise<CommandResult>,
): Promise<CommandResult> {
    return withState(session, (state) => state.config === undefined
        ? refused("No configuration has been published; publish one with: hornbeamctl config publish FILE")
        : use(state.config));
}

/** Runs a command on the live hosts' dumps. */
export async function withReports(session: ControlSession, use: (reports: HostReport[]) => CommandResult): Promise<CommandResult> {
    const reports = await session.reports();
    return reports.isErr() ? unreachable(reports.error) : use(reports.value);
}

/** The command did what it was asked. */
export function done(lines: string[], json: unknown): CommandResult {
    return { exitCode: exitCodes.done, lines, json };
}

/** The command was understood but not done. */
export function refused(line: string): CommandResult {
    return { exitCode: exitCodes.refused, lines: [line], json: undefined };
}

/** The command line or a document is wrong. */
export function badInput(failed: Failure): CommandResult {
    return ended(exitCodes.badInput, failed);
}

/** The log, the host list or a host cannot be reached. */
export function unreachable(failed: Failure): CommandResult {
    const next = failed.step === "publish" ? ["Look whether it took effect with: hornbeamctl config history, before publishing again."] : [];
    const result = ended(exitCodes.unreachable, failed);
    return { ...result, lines: [...result.lines, ...next] };
}

function ended(exitCode: ExitCode, failed: Failure): CommandResult {
    return { exitCode, lines: [describeFailure(failed)], json: failed };
}
