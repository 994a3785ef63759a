/** The one error type that crosses module boundaries: it names the step and the peer at which it arose. */

/** Steps at which a failure can arise. */
export type Step =
    | "connect" | "forward" | "grant" | "release" | "store-append" | "store-read" | "peer-call" | "admin-call"
    | "publish" | "settings" | "parse" | "fold";

/** A failure with its place. `kind` decides what a caller of the module may do next. */
export interface Failure {
    /**
     * `refused`: the peer answered no before it began; `unreachable`: nothing was sent;
     * `lost`: sent, but no proof either way; `invalid`: the input or the answer breaks the interface.
     */
    kind: "refused" | "unreachable" | "lost" | "invalid";
    step: Step;
    /** Address or id of the peer. */
    peer: string;
    message: string;
    /** True when nobody listens at the address; the peer's process has ended, or something on the way pretends so. */
    refused?: boolean;
}

/**
 * Builds a failure.
 * @param kind what the failure proves
 * @param step the step at which it arose
 * @param peer the peer it arose with
 * @param message a short sentence for logs
 * @param refused true when nobody listens at the address
 * @returns the failure
 */
export function failure(kind: Failure["kind"], step: Step, peer: string, message: string, refused = false): Failure {
    return { kind, step, peer, message, refused };
}

/**
 * Renders a failure as one line.
 * @param of the failure
 * @returns step, peer, kind and message
 */
export function describeFailure(of: Failure): string {
    return `${of.step} with ${of.peer} ${of.kind}: ${of.message}`;
}
