/** Measures the load that requests offer to a queue. */

/** Time constant of the exponential decay: an arrival this long ago counts for about a third (1/e). */
const decayMs = 1_000;

/** Weight of a new request in the moving average of the work times. */
const meanWorkWeight = 0.05;

/** Load that recent requests offered. Work times are those at targets of average speed; times are monotonic milliseconds. */
export class OfferedLoad {
    private slots = 0;
    private updatedMs = 0;
    private workMs = 0;

    /** Mean work time of the requests; 0 before the first. */
    get meanWorkMs(): number {
        return this.workMs;
    }

    /**
     * Counts a request.
     * @param workMs its expected work time
     * @param isInTime whether it could meet its target latency on arrival; if not, it adds to the mean work time only
     * @param nowMs current time
     */
    count(workMs: number, isInTime: boolean, nowMs: number): void {
        this.workMs = this.workMs === 0 ? workMs : this.workMs + meanWorkWeight * (workMs - this.workMs);
        this.slots = this.slotsAt(nowMs) + (isInTime ? workMs / decayMs : 0);
        this.updatedMs = nowMs;
    }

    /** Returns the number of slots that recent requests which could meet their target latency need, refused ones included. */
    slotsAt(nowMs: number): number {
        return this.slots * Math.exp(-(nowMs - this.updatedMs) / decayMs);
    }
}
