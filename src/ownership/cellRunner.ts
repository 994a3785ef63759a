/** Runs one cell under one fence: a heartbeat task for each server, and the passing of time between them. */
import type { TargetId } from "../model/ids.js";
import type { Clock, Instant } from "../model/time.js";
import type { ServerPort } from "../coordinator/serverPort.js";
import type { Cell } from "./cell.js";
import type { PlacementEvent } from "./tenure.js";

const minHeartbeatSpacingMs = 5;

/** Pace of a cell, in milliseconds. */
export interface CellPace {
    heartbeatMs: number;
    heartbeatTimeoutMs: number;
}

/** What the runner tells its owner. */
export interface CellListener {
    onChange(now: Instant): void;
    onPlacement(event: PlacementEvent): void;
    /** The fence is out: a higher one was accepted. */
    onOutranked(): void;
}

/** Keeps a cell's leases alive until it is stopped or outranked. */
export class CellRunner {
    private readonly stopping = new AbortController();
    private readonly wakes = new Map<TargetId, AbortController>();

    /**
     * @param cell decides the grants
     * @param servers port to the servers
     * @param clock clocks of this process
     * @param pace intervals in force
     * @param listener told of changes
     */
    constructor(
        readonly cell: Cell,
        private readonly servers: ServerPort,
        private readonly clock: Clock,
        private readonly pace: () => CellPace,
        private readonly listener: CellListener,
    ) {}

    get stopped(): boolean {
        return this.stopping.signal.aborted;
    }

    /** Starts one heartbeat task for each server of the cell, and of the sets that must accept its fence. */
    start(): void {
        const servers = new Set([...this.cell.plan.servers, ...this.cell.plan.voterSets.flat()]);
        for (const server of servers) {
            void this.keepHeartbeats(server);
        }
    }

    /** Ends every task; leases end by themselves. */
    stop(): void {
        this.stopping.abort();
        for (const wake of this.wakes.values()) {
            wake.abort();
        }
    }

    /** Sends the next heartbeat of every server at once, for a grant or a release that should not wait. */
    hurry(): void {
        for (const wake of this.wakes.values()) {
            wake.abort();
        }
    }

    private async keepHeartbeats(server: TargetId): Promise<void> {
        let missedInRow = 0;
        while (!this.stopped) {
            const wake = new AbortController();
            this.wakes.set(server, wake);
            const answered = await this.beat(server);
            missedInRow = answered ? 0 : missedInRow + 1;
            if (missedInRow === 1) {
                // The connection may have gone silent while the server is well, so the next try uses a new one.
                this.servers.dropIdle(server);
                continue;
            }
            await this.clock.sleep(minHeartbeatSpacingMs);
            await this.clock.sleep(this.pace().heartbeatMs - minHeartbeatSpacingMs, wake.signal);
        }
    }

    private async beat(server: TargetId): Promise<boolean> {
        const sent = this.clock.now();
        const request = this.cell.nextHeartbeat(server, sent.monoMs);
        const reply = await this.servers.heartbeat(server, request, this.pace().heartbeatTimeoutMs);
        if (this.stopped) {
            return true;
        }
        const now = this.clock.now();
        if (reply.isOk()) {
            this.cell.onReply(server, request, sent.monoMs, reply.value, now.monoMs);
        }
        else {
            this.cell.tick(now.monoMs);
        }
        this.report(now);
        return reply.isOk();
    }

    private report(now: Instant): void {
        if (this.cell.outrankedBy !== undefined) {
            this.stop();
            this.listener.onOutranked();
            return;
        }
        this.listener.onChange(now);
        const events = this.cell.takeEvents();
        events.forEach((event) => {
            this.listener.onPlacement(event);
        });
        if (events.some((event) => event.cause !== "kept") || this.cell.moves.hasReleaseToSend()) {
            this.hurry();
        }
    }
}
