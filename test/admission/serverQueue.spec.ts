import { expect } from "chai";
import type { Permit } from "../../src/admission/serverQueue.js";
import { ServerQueue } from "../../src/admission/serverQueue.js";

const limits = { slots: 2, lookahead: 0, maxWaiting: 2, warmUpMs: 0, policy: "queue" as const };
const request = (priority: number, deadlineMs = 1_000) => ({ priority, deadlineMs });

function createQueue(changes: Partial<typeof limits> = {}): ServerQueue {
    return new ServerQueue(() => ({ ...limits, ...changes }), () => 0.5);
}

/** Collects permits in the order in which they are decided. */
function collect() {
    const decided: [string, Permit][] = [];
    const note = (name: string) => (permit: Permit) => {
        decided.push([name, permit]);
    };
    return { decided, note };
}

describe("ServerQueue", () => {
    it("fills the slots, then lets the most urgent and earliest deadline go first", async () => {
        const queue = createQueue({ maxWaiting: 10 });
        const { decided, note } = collect();
        const waits = ["a", "b"].map((name) => queue.enter(request(5), 0).then(note(name)));
        await Promise.all(waits);
        const later = [
            queue.enter(request(5), 0).then(note("bulk")),
            queue.enter(request(1, 900), 0).then(note("order, later deadline")),
            queue.enter(request(1, 800), 0).then(note("order")),
        ];
        for (let left = 0; left < 3; left += 1) {
            queue.leave(3, 1);
        }
        await Promise.all(later);
        expect(decided.map(([name]) => name)).to.deep.equal(["a", "b", "order", "order, later deadline", "bulk"]);
    });

    it("refuses at once, with a time to come back, what cannot be served in time", async () => {
        const queue = createQueue();
        await Promise.all([queue.enter(request(1), 0), queue.enter(request(1), 0)]);
        const permit = await queue.enter(request(1, 2), 0);
        expect(permit).to.have.nested.property("refusal.reason", "queue-full");
        expect(permit).to.have.nested.property("refusal.retryAfterMs").that.is.greaterThan(0);
    });

    it("refuses a request whose deadline has passed even when a slot is free", async () => {
        expect(await createQueue().enter(request(1, 5), 6)).to.have.nested.property("refusal.reason", "deadline");
    });

    it("when full, refuses the least urgent one for a more urgent one", async () => {
        const queue = createQueue();
        await Promise.all([queue.enter(request(1), 0), queue.enter(request(1), 0)]);
        const { decided, note } = collect();
        void queue.enter(request(6), 0).then(note("meter reads"));
        void queue.enter(request(5), 0).then(note("bulk"));
        void queue.enter(request(1), 0).then(note("order"));
        const refused = await queue.enter(request(6), 0);
        expect(refused.granted).to.equal(false);
        expect(decided).to.have.length(1);
        expect(decided[0]?.[0]).to.equal("meter reads");
    });

    it("sends nothing while the server sheds, and goes on afterwards", async () => {
        const queue = createQueue();
        queue.pause(50, 0);
        const { decided, note } = collect();
        const waiting = queue.enter(request(1), 0).then(note("order"));
        queue.startNext(49);
        expect(queue.inFlightCount).to.equal(0);
        queue.startNext(50);
        await waiting;
        expect(decided).to.have.length(1);
    });

    it("gives a cold server one slot", async () => {
        const queue = createQueue({ warmUpMs: 100 });
        await queue.enter(request(1), 0);
        void queue.enter(request(1), 0);
        expect(queue.inFlightCount).to.equal(1);
        queue.startNext(100);
        expect(queue.inFlightCount).to.equal(2);
    });
});
