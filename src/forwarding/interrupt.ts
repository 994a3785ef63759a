/** Interrupts an attempt when its client leaves, its timeout expires, or it is given up for a retry. */

/** Why an attempt is interrupted. */
export type InterruptReason = "timed-out" | "client-left" | "given-up";

/** When an attempt may be given up for a retry. */
export interface Patience {
    /** Time from the start of the attempt after which it counts as unusually slow. */
    afterMs: number;
    /** Called once after `afterMs`; unless it resolves to true, the attempt continues until its timeout. */
    mayGiveUp: () => Promise<boolean>;
}

/** Conditions that interrupt an attempt. */
export interface InterruptTerms {
    /** Aborted when the client leaves; undefined if the attempt is to continue without its client. */
    left: AbortSignal | undefined;
    timeoutMs: number;
    /** Undefined if the attempt must not be given up for a retry. */
    patience: Patience | undefined;
}

/** The interrupt of one attempt. */
export interface Interrupt {
    /** Resolves with the reason when the attempt must end. */
    readonly raised: Promise<InterruptReason>;
    /** Rules out that the attempt is given up for a retry from now on. */
    commit(): void;
    /** Removes timers and listeners; must be called when the attempt has ended. */
    release(): void;
}

/**
 * Creates the interrupt of one attempt and starts its timers.
 * @param terms conditions that interrupt the attempt
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
