import { expect } from "chai";
import { err, ok } from "neverthrow";
import { watchConfig } from "../../src/cluster/configWatch.js";
import { failure } from "../../src/model/failure.js";
import type { Offset } from "../../src/model/names.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { VirtualClock } from "../support/virtualTime.js";

/** Timeout of a call to the store, in addition to the waiting time of a long poll. */
const callTimeoutMs = 1_200;

/** Time within which a published configuration must be applied. */
const maxApplyMs = 2_000;

/** Sets up a store that leaves calls unanswered during an outage, and in which a configuration is published at a given time. */
function setUp(outageStartMs: number, outageEndMs: number, publishedAtMs: number) {
    const clock = new VirtualClock();
    const startMs = clock.now().monoMs;
    const sinceStartMs = () => clock.now().monoMs - startMs;
    const view = new ClusterView();
    let appliedAtMs = Number.POSITIVE_INFINITY;
    let calls = 0;
    const read = async (_topic: unknown, waitMs: number) => {
        calls += 1;
        if (sinceStartMs() >= outageStartMs && sinceStartMs() < outageEndMs) {
            await clock.sleep(callTimeoutMs + waitMs);
            return err(failure("lost", "store-read", "store", "no answer in time"));
        }
        const heldUntilMs = sinceStartMs() + waitMs;
        while (sinceStartMs() < Math.min(heldUntilMs, publishedAtMs)) {
            await clock.sleep(10);
        }
        await clock.sleep(5);
        if (sinceStartMs() >= publishedAtMs) {
            view.applyConfig({ version: 1, routes: [], services: [] } as unknown as RoutingConfig, 1 as Offset, 1 as Offset);
        }
        return ok({ targets: [], ledger: [] });
    };
    const stop = new AbortController();
    void watchConfig({ reader: { read }, view, clock, onConfirmed: () => undefined, onChanged: () => {
        appliedAtMs = sinceStartMs();
    } }, stop.signal);
    return { clock, appliedAtMs: () => appliedAtMs, calls: () => calls, end: () => {
        stop.abort();
    } };
}

describe("configuration watch", () => {
    it("applies a configuration in time after an outage of the store, whenever the outage ends", async () => {
        for (let outageEndMs = 4_500; outageEndMs < 9_000; outageEndMs += 170) {
            const { clock, appliedAtMs, end } = setUp(1_000, outageEndMs, outageEndMs + 50);
            await clock.advance(14_000);
            expect(appliedAtMs() - outageEndMs, `outage until ${String(outageEndMs)}`).to.be.below(maxApplyMs);
            end();
        }
    });

    it("calls an available store little more than once a second", async () => {
        const { clock, calls, end } = setUp(Number.POSITIVE_INFINITY, 0, Number.POSITIVE_INFINITY);
        await clock.advance(10_000);
        expect(calls()).to.be.below(14);
        end();
    });
});
