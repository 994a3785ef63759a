import { expect } from "chai";
import { err, ok } from "neverthrow";
import { watchConfig } from "../../src/cluster/configWatch.js";
import { failure } from "../../src/model/failure.js";
import type { Offset } from "../../src/model/names.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { VirtualClock } from "../support/virtualTime.js";

/** Time limit of a call to the store, beyond the time for which it is held back. */
const callTimeoutMs = 1_200;

/** Bound of a configuration's taking hold. */
const boundMs = 2_000;

/** A store that swallows calls from one time to another, and gets a configuration some time later. */
function setUp(awayFromMs: number, awayUntilMs: number, publishedMs: number) {
    const clock = new VirtualClock();
    const startMs = clock.now().monoMs;
    const sinceStartMs = () => clock.now().monoMs - startMs;
    const view = new ClusterView();
    let inForceMs = Number.POSITIVE_INFINITY;
    let calls = 0;
    const read = async (_topic: unknown, waitMs: number) => {
        calls += 1;
        if (sinceStartMs() >= awayFromMs && sinceStartMs() < awayUntilMs) {
            await clock.sleep(callTimeoutMs + waitMs);
            return err(failure("lost", "store-read", "store", "no answer in time"));
        }
        const heldUntilMs = sinceStartMs() + waitMs;
        while (sinceStartMs() < Math.min(heldUntilMs, publishedMs)) {
            await clock.sleep(10);
        }
        await clock.sleep(5);
        if (sinceStartMs() >= publishedMs) {
            view.applyConfig({ version: 1, routes: [], services: [] } as unknown as RoutingConfig, 1 as Offset, 1 as Offset);
        }
        return ok({ targets: [], ledger: [] });
    };
    const stop = new AbortController();
    void watchConfig({ reader: { read }, view, clock, onChanged: () => {
        inForceMs = sinceStartMs();
    } }, stop.signal);
    return { clock, inForceMs: () => inForceMs, calls: () => calls, end: () => {
        stop.abort();
    } };
}

describe("watch of the configuration", () => {
    it("has a configuration in force within its bound when the store has just come back, whenever it went", async () => {
        for (let awayUntilMs = 4_500; awayUntilMs < 9_000; awayUntilMs += 170) {
            const { clock, inForceMs, end } = setUp(1_000, awayUntilMs, awayUntilMs + 50);
            await clock.advance(14_000);
            expect(inForceMs() - awayUntilMs, `away until ${String(awayUntilMs)}`).to.be.below(boundMs);
            end();
        }
    });

    it("asks a store that answers little more than once a second", async () => {
        const { clock, calls, end } = setUp(Number.POSITIVE_INFINITY, 0, Number.POSITIVE_INFINITY);
        await clock.advance(10_000);
        expect(calls()).to.be.below(14);
        end();
    });
});
