/** A clock that only moves when a test says so, and processes on it that can be paused or killed. */
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Clock, Instant } from "../../src/model/time.js";

const epochWallMs = 1_800_000_000_000;

interface Timer {
    atMs: number;
    order: number;
    fire: () => void;
}

/** The one time line of a test. */
export class VirtualClock implements Clock {
    private timers: Timer[] = [];
    private order = 0;
    private current = 1_000;

    now(): Instant {
        return { monoMs: this.current, wallMs: epochWallMs + this.current };
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
            this.insert({ atMs: this.current + Math.max(0, durationMs), order: this.order, fire: end });
            this.order += 1;
            signal?.addEventListener("abort", end, { once: true });
        });
    }

    /**
     * Moves on, and lets every task run dry between two timers.
     * @param durationMs how far
     * @param afterStep called after each timer
     */
    async advance(durationMs: number, afterStep?: () => void): Promise<void> {
        const untilMs = this.current + durationMs;
        await nextTurn();
        for (;;) {
            const next = this.timers[0];
            if (next === undefined || next.atMs > untilMs) {
                break;
            }
            this.current = Math.max(this.current, next.atMs);
            while (this.timers[0] !== undefined && this.timers[0].atMs <= this.current) {
                this.timers.shift()?.fire();
            }
            await nextTurn();
            afterStep?.();
        }
        this.current = untilMs;
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

/** One process: its clock runs on while it is paused, but its tasks do not. */
export class VirtualProcess {
    paused = false;
    dead = false;
    private waiting: (() => void)[] = [];

    /**
     * @param base the time line
     * @param offsets how far this process's clocks are off, and how fast its monotonic clock runs
     */
    constructor(
        private readonly base: VirtualClock,
        private readonly offsets: { monoMs: number; wallMs: number; rate: number } = { monoMs: 0, wallMs: 0, rate: 1 },
    ) {}

    readonly clock: Clock = {
        now: () => {
            const { monoMs, wallMs } = this.base.now();
            return { monoMs: this.offsets.monoMs + monoMs * this.offsets.rate, wallMs: wallMs + this.offsets.wallMs };
        },
        sleep: async (durationMs, signal) => {
            await this.base.sleep(durationMs / this.offsets.rate, signal);
            await this.pass();
        },
    };

    /** Holds a task while the process is paused, and for good when it is dead. */
    async pass(): Promise<void> {
        while (this.paused || this.dead) {
            await new Promise<void>((resolve) => this.waiting.push(resolve));
        }
    }

    pause(): void {
        this.paused = true;
    }

    resume(): void {
        this.paused = false;
        const waiting = this.waiting;
        this.waiting = [];
        waiting.forEach((wake) => {
            wake();
        });
    }

    kill(): void {
        this.dead = true;
    }
}
