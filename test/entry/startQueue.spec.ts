import { expect } from "chai";
import type { StartQueue } from "../../src/entry/startQueue.js";
import { createStartQueue } from "../../src/entry/startQueue.js";

/** Plays turns of an event loop for the queue. */
class SimulatedTurns {
    readonly events: string[] = [];
    readonly queue: StartQueue;
    nowMs = 0;
    doConnectionsWait = false;
    private callbacks: (() => void)[] = [];

    constructor(private readonly startMs = 0) {
        this.queue = createStartQueue({
            clock: { now: () => ({ monoMs: this.nowMs, wallMs: 0 }), sleep: () => Promise.resolve() },
            atTurnEnd: (callback) => this.callbacks.push(callback),
            doConnectionsWait: () => this.doConnectionsWait,
        });
    }

    add(name: string, budgetMs: number | undefined = 60_000): void {
        this.queue.add({
            budgetMs,
            start: () => {
                this.events.push(`${name} started`);
                this.nowMs += this.startMs;
            },
            refuse: (waitMs, retryAfterMs) => this.events.push(`${name} refused after ${String(waitMs)}, return after ${String(retryAfterMs)}`),
        });
    }

    /** Plays the end of a turn that took a time; returns what has happened since the last one. */
    endTurn(tookMs = 0): string[] {
        this.nowMs += tookMs;
        for (const callback of this.callbacks.splice(0)) {
            callback();
        }
        return this.events.splice(0);
    }
}

describe("starts of requests", () => {
    it("come a turn after the request was read, when its client may turn out to have left", () => {
        const turns = new SimulatedTurns();
        turns.add("a");
        expect([turns.endTurn(), turns.endTurn()]).to.deep.equal([[], ["a started"]]);
    });

    it("are spread over turns if they take long, in the order of arrival", () => {
        const turns = new SimulatedTurns(8);
        for (const name of ["a", "b", "c", "d", "e"]) {
            turns.add(name);
        }
        expect([turns.endTurn(), turns.endTurn(), turns.endTurn()])
            .to.deep.equal([[], ["a started", "b started", "c started"], ["d started", "e started"]]);
    });

    it("are held back while connections wait, for 16 turns at most", () => {
        const turns = new SimulatedTurns();
        turns.doConnectionsWait = true;
        turns.add("a");
        const played = Array.from({ length: 18 }, () => turns.endTurn(1));
        expect(played.flatMap((events, index) => events.length > 0 ? [index] : [])).to.deep.equal([17]);
    });

    it("are held back while connections wait, for 20 ms at most", () => {
        const turns = new SimulatedTurns();
        turns.doConnectionsWait = true;
        turns.add("a");
        const played = Array.from({ length: 6 }, () => turns.endTurn(8));
        expect(played).to.deep.equal([[], [], [], [], ["a started"], []]);
    });

    it("go on as soon as no connection waits", () => {
        const turns = new SimulatedTurns();
        turns.doConnectionsWait = true;
        turns.add("a");
        turns.endTurn();
        turns.doConnectionsWait = false;
        expect([turns.endTurn(), turns.endTurn()]).to.deep.equal([[], ["a started"]]);
    });

    it("are refused once a request has waited for a third of its client's time, or for 1 s", () => {
        const turns = new SimulatedTurns();
        turns.add("short", 900);
        turns.add("open");
        turns.queue.add({ budgetMs: undefined, start: () => undefined, refuse: (waitMs) => turns.events.push(`none refused after ${String(waitMs)}`) });
        expect([turns.endTurn(1_001), turns.endTurn()])
            .to.deep.equal([[], ["short refused after 1001, return after 1001", "open started", "none refused after 1001"]]);
    });

    it("are refused at once while another request has waited for longer than the new one may", () => {
        const turns = new SimulatedTurns();
        turns.add("head");
        turns.nowMs = 400;
        turns.add("short", 900);
        turns.add("long", 3_000);
        expect([turns.endTurn(), turns.endTurn()])
            .to.deep.equal([["short refused after 0, return after 400"], ["head started", "long started"]]);
    });
});
