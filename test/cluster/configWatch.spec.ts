import { expect } from "chai";
import { err, ok } from "neverthrow";
import { watchConfig } from "../../src/cluster/configWatch.js";
import { failure } from "../../src/model/failure.js";
import type { HostId, Offset } from "../../src/model/names.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { createTopicReader } from "../../src/store/topicReader.js";
import { SeededRandom } from "../support/seededRandom.js";
import { VirtualClock, VirtualProcess } from "../support/virtualTime.js";
import { VirtualStore } from "../world/virtualStore.js";

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

    it("does not count a call as held that was answered before the configuration, and read late", async () => {
        const clock = new VirtualClock();
        const process = new VirtualProcess(clock);
        const store = new VirtualStore(clock, new SeededRandom(1));
        const view = new ClusterView();
        const reader = createTopicReader({
            store: store.createStorePort("h" as HostId, process), view, clock: process.clock,
            decoders: {
                configuration: (key, value) => ok(key === "config" ? JSON.parse(value.toString()) as RoutingConfig : undefined),
                evacuation: () => ok(undefined),
                target: () => err(failure("invalid", "parse", "target", "not written here")),
            },
            log: { info: () => undefined, warn: () => undefined, error: () => undefined },
        });
        const stop = new AbortController();
        const publish = (version: number) => {
            store.put("configuration", "config", { version, routes: [], services: [] });
        };
        let confirmed: { atMs: number; version: number | undefined } | undefined;
        publish(7);
        void watchConfig({ reader, view, clock: process.clock, onChanged: () => undefined, onConfirmed: (atMs) => {
            confirmed = { atMs, version: view.config?.config.version };
        } }, stop.signal);
        await clock.advance(500);
        process.pause();
        store.put("configuration", "of another kind", {});
        await clock.advance(100);
        publish(8);
        const publishedAtMs = clock.now().monoMs;
        await clock.advance(3_000);
        process.resume();
        await clock.advance(1);
        expect(confirmed?.version).to.equal(7);
        expect(confirmed?.atMs).to.be.below(publishedAtMs);
        stop.abort();
    });
});
