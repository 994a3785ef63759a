/** Ends an attempt early: its client has left, its time is over, or the router would rather ask another target. */

/** Why an attempt ends early. */
export type InterruptReason = "timed-out" | "client-left" | "given-up";

/** When an attempt is given up in favour of another one. */
export interface Patience {
    /** Time after which the answer is late beyond what is usual. */
    afterMs: number;
    /** Asked at that time; unless it says yes, the attempt runs on to its timeout. */
    mayGiveUp: () => Promise<boolean>;
}

/** Bounds of an attempt. */
export interface InterruptTerms {
    /** Aborted when the client leaves; undefined when the attempt goes on without its client. */
    left: AbortSignal | undefined;
    timeoutMs: number;
    /** Undefined when the attempt must not be given up for another one. */
    patience: Patience | undefined;
}

/** Resolves `raised` when an attempt must end. */
export interface Interrupt {
    readonly raised: Promise<InterruptReason>;
    /** From now on the attempt is not given up for another one. */
    commit(): void;
    release(): void;
}

/**
 * Creates the interrupt of one attempt and starts its clock.
 * @param terms its bounds
 */
export function createInterrupt({ left, timeoutMs, patience }: InterruptTerms): Interrupt {
    let release: () => void = () => undefined;
    let committed = false;
    const raised = new Promise<InterruptReason>((resolve) => {
        const timer = setTimeout(resolve, Math.max(1, timeoutMs), "timed-out");
        const askPatience = async ({ mayGiveUp }: Patience) => {
            if (!committed && await mayGiveUp() && !committed) {
                resolve("given-up");
            }
        };
        const patienceTimer = patience === undefined ? undefined : setTimeout(() => {
            void askPatience(patience);
        }, Math.max(1, patience.afterMs));
        const onLeft = () => {
            resolve("client-left");
        };
        if (left?.aborted === true) {
            onLeft();
        }
        left?.addEventListener("abort", onLeft, { once: true });
        release = () => {
            clearTimeout(timer);
            clearTimeout(patienceTimer);
            left?.removeEventListener("abort", onLeft);
        };
    });
    return {
        raised,
        commit: () => {
            committed = true;
        },
        release: () => {
            release();
        },
    };
}
