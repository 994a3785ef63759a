/** Virtual time for tests: a clock that moves only when a test advances it, and processes that can be paused or killed. */
import { setImmediate as nextEventLoopTurn } from "node:timers/promises";
import type { Clock, Instant } from "../../src/model/time.js";

const epochWallMs = 1_800_000_000_000;

interface Timer {
    atMs: number;
    order: number;
    fire: () => void;
}

/** The clock of a test; the clocks of its processes derive from it. */
export class VirtualClock implements Clock {
    private timers: Timer[] = [];
    private nextOrder = 0;
    private currentMs = 1_000;

    now(): Instant {
        return { monoMs: this.currentMs, wallMs: epochWallMs + this.currentMs };
    }

    sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted === true) {
            return Promise.resolve();
        }
        return new Promise((resolve) => {
            const end = () => {
                signal?.removeEventListener("abort", end);
                resolve();
            };
            this.insert({ atMs: this.currentMs + Math.max(0, durationMs), order: this.nextOrder, fire: end });
            this.nextOrder += 1;
            signal?.addEventListener("abort", end, { once: true });
        });
    }

    /**
     * Advances the time. Timers that are due at the same time fire together; the tasks that they resume run before later timers fire.
     * @param durationMs time to advance by
     * @param afterStep called after the timers of each instant and the tasks that they resumed
     */
    async advance(durationMs: number, afterStep?: () => void): Promise<void> {
        const endMs = this.currentMs + durationMs;
        await nextEventLoopTurn();
        for (;;) {
            const next = this.timers[0];
            if (next === undefined || next.atMs > endMs) {
                break;
            }
            this.currentMs = Math.max(this.currentMs, next.atMs);
            while (this.timers[0] !== undefined && this.timers[0].atMs <= this.currentMs) {
                this.timers.shift()?.fire();
            }
            await nextEventLoopTurn();
            afterStep?.();
        }
        this.currentMs = endMs;
    }

    private insert(timer: Timer): void {
        let low = 0;
        let high = this.timers.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            const other = this.timers[middle] as Timer;
            if (other.atMs < timer.atMs || (other.atMs === timer.atMs && other.order < timer.order)) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        this.timers.splice(low, 0, timer);
    }
}

/** A simulated process. While it is paused its clocks keep running, but tasks that wait on its clock or for an answer do not resume. */
export class VirtualProcess {
    isPaused = false;
    isKilled = false;
    private blockedTasks: (() => void)[] = [];

    /**
     * @param sharedClock the clock of the test
     * @param offsets differences of this process's clocks from the shared clock, and the rate of its monotonic clock relative to it
     */
    constructor(
        private readonly sharedClock: VirtualClock,
        private readonly offsets: { monoMs: number; wallMs: number; rate: number } = { monoMs: 0, wallMs: 0, rate: 1 },
    ) {}

    readonly clock: Clock = {
        now: () => {
            const { monoMs, wallMs } = this.sharedClock.now();
            return { monoMs: this.offsets.monoMs + monoMs * this.offsets.rate, wallMs: wallMs + this.offsets.wallMs };
        },
        sleep: async (durationMs, signal) => {
            await this.sharedClock.sleep(durationMs / this.offsets.rate, signal);
            await this.waitUntilRunning();
        },
    };

    /** Waits until the process runs; never returns once it is killed. */
    async waitUntilRunning(): Promise<void> {
        while (this.isPaused || this.isKilled) {
            await new Promise<void>((resolve) => this.blockedTasks.push(resolve));
        }
    }

    pause(): void {
        this.isPaused = true;
    }

    resume(): void {
        this.isPaused = false;
        const blockedTasks = this.blockedTasks;
        this.blockedTasks = [];
        blockedTasks.forEach((unblock) => {
            unblock();
        });
    }

    kill(): void {
        this.isKilled = true;
    }
}
