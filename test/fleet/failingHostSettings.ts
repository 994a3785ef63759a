/** What `failingHost.ts` and the spec that runs it agree on. */

/** Time from the start of the task to its failure. */
export const failsAfterMs = 4_000;

/** Connections to targets whose opening fails. */
export const failingConnectionCount = 3;

export const failureMessage = "made to fail by the test";
