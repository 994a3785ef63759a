/** Builds the results of hornbeamctl commands. */
import type { Failure } from "../model/failure.js";
import { describeFailure } from "../model/failure.js";
import type { CommandResult, ExitCode } from "./output.js";
import { exitCodes } from "./output.js";

/** Result of a successful command. */
export function done(lines: string[], json: unknown): CommandResult {
    return { exitCode: exitCodes.done, lines, json };
}

/** Result of a command that is valid but was not carried out. */
export function refused(line: string): CommandResult {
    return { exitCode: exitCodes.refused, lines: [line], json: undefined };
}

/** Result of a command that ended with a failure. */
export function failed(failure: Failure): CommandResult {
    const exitCode: ExitCode = failure.kind === "invalid" ? exitCodes.badInput
        : failure.kind === "refused" ? exitCodes.refused : exitCodes.unreachable;
    const next = failure.kind === "lost" && failure.step === "store-append"
        ? ["Check whether the change took effect with: hornbeamctl config history, before publishing again."] : [];
    return { exitCode, lines: [describeFailure(failure), ...next], json: failure };
}
