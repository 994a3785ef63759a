/** How an attempt ends by an interrupt. */
import type { AttemptEnd } from "./attemptEnds.js";
import type { InterruptReason } from "./interrupt.js";

/** Why an attempt is lost if its host is cut off from the target. */
export const pathLost = "this host is cut off from the target";

/** How an attempt ends by an interrupt before its request has been sent. */
export const endBeforeSending: { [Reason in InterruptReason]: AttemptEnd } = {
    "client-left": { kind: "client-left" },
    "timed-out": { kind: "unreachable", why: "connection was not opened in time" },
    "given-up": { kind: "given-up", wasSent: false },
    "path-lost": { kind: "unreachable", why: pathLost },
};

/** How an attempt ends by an interrupt after its request has been sent. */
export const endAfterSending: { [Reason in InterruptReason | "body-broken"]: AttemptEnd } = {
    "client-left": { kind: "client-left" },
    "timed-out": { kind: "timed-out" },
    "given-up": { kind: "given-up", wasSent: true },
    "path-lost": { kind: "lost", why: pathLost },
    "body-broken": { kind: "body-broken" },
};
