/** How commands of hornbeamctl end. */
import type { Failure } from "../model/failure.js";
import { describeFailure } from "../model/failure.js";
import type { CommandResult, ExitCode } from "./output.js";
import { exitCodes } from "./output.js";

/** The command did what it was asked. */
export function done(lines: string[], json: unknown): CommandResult {
    return { exitCode: exitCodes.done, lines, json };
}

/** The command was understood but not done. */
export function refused(line: string): CommandResult {
    return { exitCode: exitCodes.refused, lines: [line], json: undefined };
}

/** How a command ends that met a failure. */
export function failed(failure: Failure): CommandResult {
    const exitCode: ExitCode = failure.kind === "invalid" ? exitCodes.badInput
        : failure.kind === "refused" ? exitCodes.refused : exitCodes.unreachable;
    const next = failure.kind === "lost" && failure.step === "store-append"
        ? ["Look whether it took effect with: hornbeamctl config history, before publishing again."] : [];
    return { exitCode, lines: [describeFailure(failure), ...next], json: failure };
}
