import { expect } from "chai";
import { watchEventLoopDelay } from "../../src/observe/eventLoopDelay.js";
import { VirtualClock } from "../support/virtualTime.js";

describe("delay of the event loop", () => {
    it("is reported each time, and logged if it is long", async () => {
        const clock = new VirtualClock();
        const delays: number[] = [];
        const lines: (object | undefined)[] = [];
        const stop = new AbortController();
        let lateByMs = 0;
        const sleepLate = {
            now: () => clock.now(),
            sleep: (durationMs: number, signal?: AbortSignal) => clock.sleep(durationMs + lateByMs, signal),
        };
        const log = { info: () => undefined, warn: (_text: string, fields?: object) => lines.push(fields), error: () => undefined };
        void watchEventLoopDelay({ clock: sleepLate, log, onDelay: (delayMs) => delays.push(delayMs) }, stop.signal);
        await clock.advance(600);
        lateByMs = 16_000;
        await clock.advance(20_000);
        stop.abort();
        expect(delays).to.deep.equal([0, 0, 16_000]);
        expect(lines).to.deep.equal([{ delayMs: 16_000 }]);
    });
});
