import { expect } from "chai";
import { paceNews } from "../../src/cluster/newsPacing.js";
import { Signal } from "../../src/model/signal.js";
import { VirtualClock } from "../support/virtualTime.js";

function setUp() {
    const clock = new VirtualClock();
    const [urgent, soon] = [new Signal(), new Signal()];
    const startMs = clock.now().monoMs;
    const toldMs: number[] = [];
    const stop = new AbortController();
    void paceNews({ clock, urgent, soon: [soon], tell: () => toldMs.push(clock.now().monoMs - startMs) }, stop.signal);
    return { clock, urgent, soon, toldMs, stop };
}

describe("pace of news", () => {
    it("tells at once that a move begins, however many others end meanwhile", async () => {
        const { clock, urgent, soon, toldMs, stop } = setUp();
        await clock.advance(100);
        soon.fire();
        await clock.advance(10);
        soon.fire();
        await clock.advance(5);
        urgent.fire();
        await clock.advance(5);
        expect(toldMs).to.deep.equal([0, 100, 115]);
        stop.abort();
    });

    it("tells the ends of forty moves in half a second a few times only, the first at once and none late", async () => {
        const { clock, soon, toldMs, stop } = setUp();
        await clock.advance(50);
        for (let ended = 0; ended < 40; ended++) {
            soon.fire();
            await clock.advance(12);
        }
        await clock.advance(50);
        expect(toldMs[1]).to.equal(50);
        expect(toldMs.length).to.be.within(12, 16);
        toldMs.slice(1).forEach((atMs, index) => {
            expect(atMs - (toldMs[index] as number)).to.be.within(40, 60);
        });
        stop.abort();
    });

    it("tells hosts now and then though nothing has changed", async () => {
        const { clock, toldMs, stop } = setUp();
        await clock.advance(1_000);
        expect(toldMs).to.deep.equal([0, 300, 600, 900]);
        stop.abort();
    });
});
