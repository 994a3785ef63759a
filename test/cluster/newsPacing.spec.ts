import { expect } from "chai";
import { paceNews } from "../../src/cluster/newsPacing.js";
import { Signal } from "../../src/model/signal.js";
import type { Clock } from "../../src/model/time.js";
import { VirtualClock } from "../support/virtualTime.js";

function setUp() {
    const clock = new VirtualClock();
    const [urgent, soon] = [new Signal(), new Signal()];
    const startMs = clock.now().monoMs;
    const sentAtMs: number[] = [];
    const stop = new AbortController();
    void paceNews({ clock, urgent, deferrable: [soon], send: () => sentAtMs.push(clock.now().monoMs - startMs) }, stop.signal);
    return { clock, urgent, soon, sentAtMs, stop };
}

describe("news pacing", () => {
    it("sends an urgent change at once, even shortly after another update", async () => {
        const { clock, urgent, soon, sentAtMs, stop } = setUp();
        await clock.advance(100);
        soon.fire();
        await clock.advance(10);
        soon.fire();
        await clock.advance(5);
        urgent.fire();
        await clock.advance(5);
        expect(sentAtMs).to.deep.equal([0, 100, 115]);
        stop.abort();
    });

    it("batches forty changes within half a second into a few updates, sending the first at once and none late", async () => {
        const { clock, soon, sentAtMs, stop } = setUp();
        await clock.advance(50);
        for (let count = 0; count < 40; count++) {
            soon.fire();
            await clock.advance(12);
        }
        await clock.advance(50);
        expect(sentAtMs[1]).to.equal(50);
        expect(sentAtMs.length).to.be.within(12, 16);
        sentAtMs.slice(1).forEach((atMs, index) => {
            expect(atMs - (sentAtMs[index] as number)).to.be.within(40, 60);
        });
        stop.abort();
    });

    it("sends an update every 300 ms when nothing has changed", async () => {
        const { clock, sentAtMs, stop } = setUp();
        await clock.advance(1_000);
        expect(sentAtMs).to.deep.equal([0, 300, 600, 900]);
        stop.abort();
    });

    // Updates of many hosts took most of a coordinator's processor time, so that it read the store late.
    it("takes no more than a fifth of the time for updates that may be batched, however long one takes", async () => {
        const clock = new VirtualClock();
        const soon = new Signal();
        const stop = new AbortController();
        const sendMs = 60;
        let sentCount = 0;
        // The packing of an update keeps the process from doing anything else; here the clock alone goes on.
        const busyClock: Clock = {
            now: () => ({ ...clock.now(), monoMs: clock.now().monoMs + sentCount * sendMs }),
            sleep: (durationMs, signal) => clock.sleep(durationMs, signal),
        };
        void paceNews({ clock: busyClock, urgent: new Signal(), deferrable: [soon], send: () => {
            sentCount += 1;
        } }, stop.signal);
        const stepMs = 10;
        const durationMs = 6_000;
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
            soon.fire();
            await clock.advance(stepMs);
        }
        expect(sentCount * sendMs / (durationMs + sentCount * sendMs)).to.be.within(0.15, 0.21);
        stop.abort();
    });
});
