import { expect } from "chai";
import { createMetrics } from "../../src/observe/metrics.js";
import { createAcceptErrorRecorder, createAcceptBacklogRecorder, createReadinessRecorder } from "../../src/observe/listenerRecorder.js";

describe("records of a listener", () => {
    const recordedBy = () => {
        const lines: [string, unknown][] = [];
        const add = (event: string, fields?: unknown) => {
            lines.push([event, fields]);
        };
        return { lines, log: { info: add, warn: add, error: add }, metrics: createMetrics() };
    };

    it("log connections that waited long to be accepted", () => {
        const { lines, log, metrics } = recordedBy();
        const record = createAcceptBacklogRecorder("clients", log, metrics);
        record({ sinceMs: 0, turnCount: 1, longestTurnMs: 20.2, maxWaitMs: 20.2 });
        record({ sinceMs: 0, turnCount: 9, longestTurnMs: 80.4, maxWaitMs: 410.6 });
        expect(lines).to.deep.equal([["connections wait to be accepted", { forMs: 411, turnCount: 9, longestTurnMs: 80 }]]);
    });

    it("count and log connections that could not be accepted", async () => {
        const { lines, log, metrics } = recordedBy();
        createAcceptErrorRecorder(log, metrics)(Object.assign(new Error("accept EMFILE"), { code: "EMFILE" }));
        expect(lines).to.deep.equal([["accepting a connection failed", { code: "EMFILE", why: "accept EMFILE" }]]);
        expect(await metrics.text()).to.contain("hornbeam_accept_errors_total{code=\"EMFILE\"} 1");
    });

    it("count each answer to a readiness check and log those that differ from the one before", async () => {
        const { lines, log, metrics } = recordedBy();
        const state = { acceptedCount: 7, openCount: 3, acceptWaitMs: 0 };
        const record = createReadinessRecorder(log, metrics, () => state);
        for (const why of ["no configuration", undefined, undefined, "stopping"]) {
            record(why);
        }
        expect(lines).to.deep.equal([
            ["readiness changed", { ready: false, why: "no configuration", ...state }],
            ["readiness changed", { ready: true, why: undefined, ...state }],
            ["readiness changed", { ready: false, why: "stopping", ...state }],
        ]);
        expect(await metrics.text()).to.contain("hornbeam_readiness_answers_total{answer=\"ready\"} 2");
    });
});
