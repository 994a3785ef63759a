/** The only error type that crosses module boundaries: it names the step that failed and the peer involved. */

/** Steps that can fail. `fold` is the decoding of a ledger record, `parse` that of a target's entry or a configuration. */
export type Step =
    | "connect" | "forward" | "grant" | "release" | "store-append" | "store-read" | "peer-call" | "admin-call"
    | "publish" | "settings" | "listen" | "parse" | "fold";

/** A failed step. `kind` decides what the caller may do next, such as retry. The fields appear in the JSON output of hornbeamctl. */
export interface Failure {
    /**
     * `refused`: the request was rejected and not executed; `unreachable`: nothing was sent;
     * `lost`: the request was sent, and it is unknown whether it was executed; `invalid`: the input or the response violates the
     * interface.
     */
    kind: "refused" | "unreachable" | "lost" | "invalid";
    step: Step;
    /** Address, id or name of the peer or source that the step concerned. */
    peer: string;
    message: string;
    /**
     * True if the connection was refused: nothing listens at the address because the peer's process has ended, or an intermediary on
     * the network refused the connection although the process is running.
     */
    refused?: boolean;
}

/**
 * Creates a failure.
 * @param kind whether the request can have been executed, see `Failure.kind`
 * @param step the step that failed
 * @param peer address, id or name of the peer or source that the step concerned
 * @param message short description for logs
 * @param refused true if the connection was refused
 */
export function failure(kind: Failure["kind"], step: Step, peer: string, message: string, refused = false): Failure {
    return { kind, step, peer, message, refused };
}

/**
 * Formats a failure as one line.
 * @param error the failure
 * @returns step, peer, kind and message
 */
export function describeFailure(error: Failure): string {
    return `${error.step} with ${error.peer} ${error.kind}: ${error.message}`;
}
