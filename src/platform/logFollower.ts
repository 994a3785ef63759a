/** Follows the log, and the peers when the log cannot be read. The state's offset never goes back. */
import type { Offset } from "../model/ids.js";
import { noOffset } from "../model/ids.js";
import type { Failure } from "../model/failure.js";
import { describeFailure } from "../model/failure.js";
import type { Clock } from "../model/time.js";
import { Signal } from "../model/signal.js";
import type { FoldedState } from "./fold.js";
import { emptyState, foldFromStart, foldRecord } from "./fold.js";
import type { LogPort } from "./logPort.js";
import type { StoredRecord } from "./records.js";

const longPollMs = 1_000;
const retryMs = 100;

/** Asks a peer for its state if it is ahead. */
export type FetchFromPeers = (aboveOffset: Offset) => Promise<FoldedState | undefined>;

/** Keeps the newest agreed state of this process. */
export class LogFollower {
    /** Fires whenever the state moves on. */
    readonly changed = new Signal();
    private current: FoldedState = emptyState;
    private logWell = false;
    private started = false;
    private problem = "the log has not been read yet";
    private readonly stopping = new AbortController();

    /**
     * @param log port to the log
     * @param clock clocks of this process
     * @param fetchFromPeers asks the peers when the log fails
     */
    constructor(
        private readonly log: LogPort,
        private readonly clock: Clock,
        private readonly fetchFromPeers: FetchFromPeers,
    ) {}

    get state(): FoldedState {
        return this.current;
    }

    /** True while the last read of the log succeeded. */
    get isLogWell(): boolean {
        return this.logWell;
    }

    /** Why there is no state to serve by, or undefined when there is one. */
    get unreadyBecause(): string | undefined {
        if (this.current.config !== undefined) {
            return undefined;
        }
        return this.started ? "no configuration has been published" : this.problem;
    }

    /** Reads until stopped. */
    async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            const failed = this.started ? await this.readOn() : await this.readAll();
            this.logWell = failed === undefined;
            if (failed !== undefined) {
                this.problem = describeFailure(failed);
                this.adopt(await this.fetchFromPeers(this.current.offset));
                await this.clock.sleep(retryMs, this.stopping.signal);
            }
        }
    }

    /** Ends the reading. */
    stop(): void {
        this.stopping.abort();
    }

    /**
     * Takes over a peer's state if it is ahead of this one's.
     * @param state the peer's state
     */
    adopt(state: FoldedState | undefined): void {
        if (state !== undefined && state.offset > this.current.offset) {
            this.started = true;
            this.moveTo(state);
        }
    }

    /** A reader without state needs all that is kept before it can fold anything. */
    private async readAll(): Promise<Failure | undefined> {
        const stored: StoredRecord[] = [];
        let from = noOffset;
        let first = noOffset;
        for (;;) {
            const page = await this.log.read(from, 0);
            if (page.isErr()) {
                return page.error;
            }
            stored.push(...page.value.records);
            first = page.value.firstOffset;
            from = (stored.at(-1)?.offset ?? 0) + 1 as Offset;
            if (page.value.records.length === 0 || from >= page.value.nextOffset) {
                break;
            }
        }
        const state = foldFromStart(stored, stored[0]?.offset ?? first);
        if (state === undefined) {
            return this.gap("no whole snapshot reaches back to the oldest record");
        }
        this.started = true;
        this.moveTo(state);
        return undefined;
    }

    private async readOn(): Promise<Failure | undefined> {
        const page = await this.log.read(this.current.offset + 1 as Offset, longPollMs);
        if (page.isErr()) {
            return page.error;
        }
        if (page.value.firstOffset > this.current.offset + 1) {
            // Retention has passed records that were never read here; a snapshot or a peer must fill the gap.
            this.started = false;
            return undefined;
        }
        if (page.value.records.length > 0) {
            this.moveTo(page.value.records.reduce(foldRecord, this.current));
        }
        return undefined;
    }

    private gap(message: string): Failure {
        return { kind: "invalid", step: "log-read", peer: "log", message };
    }

    private moveTo(state: FoldedState): void {
        if (state.offset <= this.current.offset) {
            return;
        }
        this.current = state;
        this.changed.fire();
    }
}
