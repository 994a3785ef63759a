/** Lets many tasks wait for the next change of something. */

/** A broadcast: everyone who waits is woken by the next `fire`. */
export class Signal {
    private waiters: (() => void)[] = [];

    /** Resolves at the next `fire`. */
    next(): Promise<void> {
        return new Promise((resolve) => this.waiters.push(resolve));
    }

    /** Wakes everyone who waits now. */
    fire(): void {
        const woken = this.waiters;
        this.waiters = [];
        for (const wake of woken) {
            wake();
        }
    }
}
