import { expect } from "chai";
import type { Log, LogFields } from "../../src/observe/log.js";
import { runRestartedTasks, runTasks } from "../../src/observe/tasks.js";
import { VirtualClock } from "../support/virtualTime.js";

function createRecordingLog(): Log & { lines: LogFields[] } {
    const lines: LogFields[] = [];
    const add = (_event: string, fields: LogFields = {}) => lines.push(fields);
    return { lines, info: add, warn: add, error: add };
}

describe("tasks", () => {
    it("one that fails again and again is started again each time, after a pause, and does not disturb the others", async () => {
        const clock = new VirtualClock();
        const log = createRecordingLog();
        const abort = new AbortController();
        let startCount = 0;
        let otherRounds = 0;
        let hasEnded = false;
        void runRestartedTasks({
            failing: () => {
                startCount += 1;
                return Promise.reject(new Error("wrong"));
            },
            other: async (signal) => {
                while (!signal.aborted) {
                    otherRounds += 1;
                    await clock.sleep(100, signal);
                }
            },
        }, clock, log, abort.signal).then(() => {
            hasEnded = true;
        });
        await clock.advance(10_000);
        expect(startCount).to.be.within(2, 100);
        expect(otherRounds).to.be.at.least(100);
        expect(log.lines).to.have.length(startCount);
        expect(log.lines[0]).to.include({ task: "failing", outcome: "started again" });
        expect(String(log.lines[0]?.["why"])).to.include("wrong");
        abort.abort();
        await clock.advance(1);
        expect(hasEnded).to.equal(true);
    });

    it("an essential one that fails or returns is reported, also while the others run on; one that is stopped is not", async () => {
        const clock = new VirtualClock();
        const log = createRecordingLog();
        const endless = (signal: AbortSignal) => clock.sleep(Number.MAX_SAFE_INTEGER, signal);
        const runWith = async (run: (signal: AbortSignal) => Promise<void>) => {
            const abort = new AbortController();
            const ended = runTasks([
                { name: "endless", isEssential: true, run: endless }, { name: "tested", isEssential: true, run },
            ], clock, log, abort.signal);
            await clock.advance(10);
            abort.abort();
            return ended;
        };
        expect(await runWith(() => Promise.reject(new Error("wrong")))).to.include({ name: "tested" });
        expect(await runWith(() => Promise.resolve())).to.deep.equal({ name: "tested", why: "it returned" });
        expect(log.lines.map(({ task, outcome }) => [task, outcome])).to.deep.equal([["tested", "not continued"], ["tested", "not continued"]]);
        expect(await runWith(endless)).to.equal(undefined);
        expect(log.lines).to.have.length(2);
    });
});
