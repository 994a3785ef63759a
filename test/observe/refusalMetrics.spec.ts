import { expect } from "chai";
import type { RouteId } from "../../src/model/names.js";
import type { Route } from "../../src/model/routing.js";
import { createMetrics } from "../../src/observe/metrics.js";
import { createRequestRecorder } from "../../src/observe/requestRecorder.js";
import type { Received } from "../forwarding/forwarderUnderTest.js";
import { createCall, plain } from "../forwarding/forwarderUnderTest.js";
import { silentLog } from "../support/silentLog.js";
import { VirtualClock } from "../support/virtualTime.js";

describe("metrics of refusals", () => {
    it("count refused requests by the priority of their route, and none that has no route", async () => {
        const metrics = createMetrics();
        const recorder = createRequestRecorder({
            log: silentLog, metrics, clock: new VirtualClock(), configVersion: () => 1, configAgeMs: () => 0,
            ledgerStatus: () => ({ ledgerUpTo: 0, ageMs: 0 }),
        });
        const call = createCall(plain, { bytes: 0, brokenOff: false } satisfies Received);
        const route = { routeId: "r" as RouteId, priority: 2 } as Route;
        recorder.refused(call, { reason: "capacity-reserved", retryAfterMs: 100 }, route, undefined);
        recorder.refused(call, { reason: "no-route", retryAfterMs: undefined }, undefined, undefined);
        const lines = (await metrics.text()).split("\n").filter((line) => line.startsWith("hornbeam_refusals_by_priority_total"));
        expect(lines).to.deep.equal(["hornbeam_refusals_by_priority_total{priority=\"2\",reason=\"capacity-reserved\"} 1"]);
    });
});
