/** Interrupts an attempt: its client leaves, its timeout expires, it is given up for a retry, or this host is cut off from its target. */

/** Why an attempt is interrupted. */
export type InterruptReason = "timed-out" | "client-left" | "given-up" | "path-lost";

/** When an attempt may be given up for a retry. */
export interface GiveUpPolicy {
    /** Time from the start of the attempt after which it counts as unusually slow. */
    afterMs: number;
    /** Called once after `afterMs`; unless it resolves to true, the attempt continues until its timeout. */
    mayGiveUp: () => Promise<boolean>;
}

/** Conditions that interrupt an attempt. */
export interface InterruptTerms {
    /** Aborted when the client leaves; undefined if the attempt is to continue without its client. */
    clientLeft: AbortSignal | undefined;
    timeoutMs: number;
    /** Undefined if the attempt must not be given up for a retry. */
    giveUpPolicy: GiveUpPolicy | undefined;
}

/** The interrupt of one attempt. */
export interface Interrupt {
    /** Resolves with the reason when the attempt must end. */
    readonly raised: Promise<InterruptReason>;
    /**
     * Starts work and waits for it, unless the attempt must end before or meanwhile. An attempt that must end gets no further work done,
     * also if each piece of it is done at once.
     */
    unlessRaised<T>(start: () => Promise<T>): Promise<T | InterruptReason>;
    /** Ends the attempt because this host is cut off from its target. */
    losePath(): void;
    /** Rules out that the attempt is given up for a retry from now on. */
    preventGiveUp(): void;
    /** Removes timers and listeners; must be called when the attempt has ended. */
    release(): void;
}

/**
 * Creates the interrupt of one attempt and starts its timers.
 * @param terms conditions that interrupt the attempt
 */
export function createInterrupt({ clientLeft, timeoutMs, giveUpPolicy }: InterruptTerms): Interrupt {
    let reason: InterruptReason | undefined;
    let isGiveUpPrevented = false;
    const waiting = new Set<(reason: InterruptReason) => void>();
    const raise = (why: InterruptReason) => {
        reason ??= why;
        for (const resolve of waiting) {
            resolve(reason);
        }
        waiting.clear();
    };
    const timer = setTimeout(raise, Math.max(1, timeoutMs), "timed-out");
    const giveUpIfAllowed = async ({ mayGiveUp }: GiveUpPolicy) => {
        if (!isGiveUpPrevented && await mayGiveUp() && !isGiveUpPrevented) {
            raise("given-up");
        }
    };
    const giveUpTimer = giveUpPolicy === undefined ? undefined : setTimeout(() => {
        void giveUpIfAllowed(giveUpPolicy);
    }, Math.max(1, giveUpPolicy.afterMs));
    const onClientLeft = () => {
        raise("client-left");
    };
    const raised = new Promise<InterruptReason>((resolve) => {
        waiting.add(resolve);
    });
    if (clientLeft?.aborted === true) {
        onClientLeft();
    }
    clientLeft?.addEventListener("abort", onClientLeft, { once: true });
    return {
        raised,
        unlessRaised: <T>(start: () => Promise<T>) => reason !== undefined ? Promise.resolve(reason) : new Promise<T | InterruptReason>(
            (resolve, reject) => {
                waiting.add(resolve);
                start().then((value) => {
                    waiting.delete(resolve);
                    resolve(value);
                }, reject);
            }),
        losePath: () => {
            raise("path-lost");
        },
        preventGiveUp: () => {
            isGiveUpPrevented = true;
        },
        release: () => {
            clearTimeout(timer);
            clearTimeout(giveUpTimer);
            clientLeft?.removeEventListener("abort", onClientLeft);
        },
    };
}
