/** Appends the whole state to the log again, well before the oldest record in use expires. */
import { v7 as newOrderedUuid } from "uuid";
import type { HostId, RunId } from "../model/ids.js";
import { hostOfRun } from "../model/ids.js";
import { rendezvousOrder } from "../model/keyHash.js";
import type { Clock } from "../model/time.js";
import { maxPartBytes, splitSnapshot } from "./fold.js";
import type { Journal } from "./journal.js";
import type { LogFollower } from "./logFollower.js";
import type { LogPort } from "./logPort.js";

const checkMs = 500;
const minStepMs = 200;

/** What a snapshotter works with. */
export interface SnapshotterParts {
    self: RunId;
    log: LogPort;
    follower: LogFollower;
    clock: Clock;
    journal: Journal;
    /** Longest time between snapshots; at most a third of the log's retention. */
    everyMs: number;
    liveHosts: () => HostId[];
}

/** Takes snapshots when this host is due. Two at once do no harm: each is whole by itself. */
export class Snapshotter {
    private readonly stopping = new AbortController();
    private triedWallMs = Number.NEGATIVE_INFINITY;

    /** @param parts the ports and the interval */
    constructor(private readonly parts: SnapshotterParts) {}

    /** Runs until stopped. */
    async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await this.step(this.parts.clock.now().wallMs);
            await this.parts.clock.sleep(checkMs, this.stopping.signal);
        }
    }

    /** Ends the task. */
    stop(): void {
        this.stopping.abort();
    }

    /**
     * The first live host takes it; each next one waits a step longer for it to show up on the log. Counted from the
     * time on the log, so that restarts never put a snapshot off.
     */
    private async step(nowWallMs: number): Promise<void> {
        const { snapshotUpTo, snapshotWallMs, history } = this.parts.follower.state;
        const lastWallMs = Math.max(snapshotWallMs, history[0]?.publishedWallMs ?? nowWallMs, this.triedWallMs);
        const order = rendezvousOrder(`snapshot ${String(snapshotUpTo)}`, this.parts.liveHosts());
        const turn = Math.max(0, order.indexOf(hostOfRun(this.parts.self)));
        const stepMs = Math.max(minStepMs, this.parts.everyMs / 10);
        if (this.parts.follower.isLogWell && nowWallMs >= lastWallMs + this.parts.everyMs + turn * stepMs) {
            await this.take(nowWallMs);
        }
    }

    private async take(nowWallMs: number): Promise<void> {
        const state = this.parts.follower.state;
        if (state.config === undefined) {
            return;
        }
        for (const chunk of splitSnapshot(state, newOrderedUuid(), maxPartBytes, nowWallMs)) {
            const appended = await this.parts.log.append(chunk);
            if (appended.isErr()) {
                this.parts.journal.warn("snapshot", `Chunk ${String(chunk.chunk)} was not appended: ${appended.error.message}.`);
                return;
            }
        }
        this.triedWallMs = nowWallMs;
        this.parts.journal.info("snapshot", `Snapshot up to offset ${String(state.offset)} is on the log.`);
    }
}
