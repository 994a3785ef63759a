/** Guards that a proof may take out, one at a time, to show that it turns red. No program sets any of them. */

/** True for each guard that is left out. */
export interface GuardsOut {
    /** A lease may outlast the coordinator's authority. */
    leaseCap?: boolean;
    /** A lapsed or unowned shard is placed without a majority that accepted a heartbeat sent afterwards. */
    freshMajority?: boolean;
    /** Answers from before the search for an owner count as proof that nobody owns a shard. */
    freshAnswers?: boolean;
    /** A release counts although the lease had lapsed before. */
    unlapsedRelease?: boolean;
    /** An unowned shard is placed without waiting for earlier leases to end. */
    wait?: boolean;
    /** A restarted server counts for a majority at once. */
    amnesia?: boolean;
    /** A server renews a lease that has lapsed. */
    unlapsedRenewal?: boolean;
    /** A server accepts lower fences. */
    fence?: boolean;
    /** A server applies old heartbeats again. */
    sequence?: boolean;
    /** Work is sent without authority or a confirmed owner. */
    authority?: boolean;
    /** Answers are not matched to their request. */
    answerMatch?: boolean;
    /** A cancellation counts though another run of the server answered it. */
    cancelIncarnation?: boolean;
    /** `not-run` is answered without asking a majority whether this coordinator is current. */
    currentProof?: boolean;
    /** Order ids from before this coordinator's time are sent. */
    idHorizon?: boolean;
    /** A handed-over order book counts although another coordinator acted in between. */
    handOverCheck?: boolean;
}

/** Every guard in place. */
export const noGuardsOut: GuardsOut = {};
