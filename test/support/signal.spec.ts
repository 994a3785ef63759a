import { getEventListeners } from "node:events";
import { expect } from "chai";
import { linkAborts, Signal, waitFor } from "../../src/model/signal.js";
import { VirtualClock } from "./virtualTime.js";

describe("waitFor and linkAborts", () => {
    it("waitFor returns on a change, an abort or after its duration and leaves no listener; a removed listener is not called", async () => {
        const clock = new VirtualClock();
        const signal = new Signal();
        const abort = new AbortController();
        const ended: string[] = [];
        const wait = (name: string, durationMs: number) => waitFor(clock, durationMs, [signal], abort.signal).then(() => ended.push(name));
        void wait("time", 10);
        await clock.advance(20);
        expect(ended).to.deep.equal(["time"]);
        void wait("change", 1_000);
        signal.fire();
        await clock.advance(1);
        expect(ended).to.deep.equal(["time", "change"]);
        expect(getEventListeners(abort.signal, "abort")).to.have.length(0);
        void wait("abort", 1_000);
        abort.abort();
        await clock.advance(1);
        expect(ended).to.deep.equal(["time", "change", "abort"]);
        let callCount = 0;
        const stopListening = signal.listen(() => {
            callCount += 1;
        });
        signal.fire();
        stopListening();
        signal.fire();
        expect(callCount).to.equal(1);
    });

    it("linkAborts aborts as soon as any of its sources does, also with one aborted before; release removes its listeners", () => {
        const [first, second] = [new AbortController(), new AbortController()];
        const linked = linkAborts(first.signal, second.signal);
        second.abort();
        expect(linked.signal.aborted).to.equal(true);
        linked.release();
        expect(getEventListeners(first.signal, "abort")).to.have.length(0);
        expect(linkAborts(first.signal, second.signal).signal.aborted).to.equal(true);
    });
});
