import { expect } from "chai";
import { ok } from "neverthrow";
import type { Address, DataCentreId, HostId, ServiceId, TargetId } from "../../src/model/names.js";
import type { TargetEntry } from "../../src/model/target.js";
import { ClusterView } from "../../src/store/clusterView.js";
import type { RecordDecoders } from "../../src/store/recordDecoders.js";
import { createTopicReader } from "../../src/store/topicReader.js";
import { SeededRandom } from "../support/seededRandom.js";
import { VirtualClock, VirtualProcess } from "../support/virtualTime.js";
import { VirtualStore } from "../world/virtualStore.js";

const host = "h" as HostId;
const evacuationPrefix = "evacuate/";
const isEvacuation = (key: string) => key.startsWith(evacuationPrefix);
const decoders: RecordDecoders = {
    configuration: (key, value) => ok(isEvacuation(key) ? undefined : JSON.parse(value.toString()) as never),
    evacuation: (key) => ok(isEvacuation(key) ? key.slice(evacuationPrefix.length) as DataCentreId : undefined),
    target: (_key, value) => ok(JSON.parse(value.toString()) as never),
};

function entry(sequence: number): TargetEntry {
    return {
        targetId: "t" as TargetId, serviceId: "main" as ServiceId, address: "10.0.0.1:80" as Address, dataCentreId: "here" as DataCentreId,
        slots: 3, state: "ready", bornWallMs: 1, sequence, warmingUp: false,
    };
}

function setUp() {
    const clock = new VirtualClock();
    const store = new VirtualStore(clock, new SeededRandom(1));
    const view = new ClusterView();
    const loggedEvents: string[] = [];
    const recordEvent = (event: string) => loggedEvents.push(event);
    const reader = createTopicReader({
        store: store.createStorePort(host, new VirtualProcess(clock)), decoders, view, clock,
        log: { info: recordEvent, warn: recordEvent, error: recordEvent },
    });
    const read = async () => {
        const reading = reader.read("targets", 0);
        await clock.advance(1_300);
        return reading;
    };
    return { clock, store, view, read, stateOf: () => view.targets.get("t" as TargetId)?.state };
}

/** As `setUp`, for the topic of the configuration; `read` returns the version that the host then has. */
function setUpConfiguration() {
    const { clock, store, view } = setUp();
    const reader = createTopicReader({
        store: store.createStorePort(host, new VirtualProcess(clock)), decoders, view, clock,
        log: { info: () => undefined, warn: () => undefined, error: () => undefined },
    });
    const read = async () => {
        const reading = reader.read("configuration", 0);
        await clock.advance(50);
        expect((await reading).isOk()).to.equal(true);
        return view.config?.config.version;
    };
    const put = (version: number) => {
        store.put("configuration", "config", { version, routes: [], services: [] });
    };
    return { store, read, put };
}

/** Removes a target's entry during an outage of the store. */
async function removeDuringOutage({ store, read }: Pick<ReturnType<typeof setUp>, "store" | "read">): Promise<void> {
    store.put("targets", "t", entry(1));
    await read();
    store.isDown = true;
    store.put("targets", "t", undefined);
    await read();
    store.isDown = false;
    await read();
}

describe("topic reader", () => {
    it("applies a removal at once while the store is available", async () => {
        const { store, read, stateOf } = setUp();
        store.put("targets", "t", entry(1));
        await read();
        store.put("targets", "t", undefined);
        await read();
        expect(stateOf()).to.equal("gone");
    });

    it("defers a removal made during an outage of the store, and applies it when the target does not return in time", async () => {
        const { clock, store, read, stateOf } = setUp();
        await removeDuringOutage({ store, read });
        expect(stateOf()).to.equal("ready");
        await clock.advance(2_300);
        await read();
        expect(stateOf()).to.equal("gone");
    });

    it("cancels a deferred removal when the target returns in time, and passes its entry on", async () => {
        const { clock, store, read, stateOf } = setUp();
        await removeDuringOutage({ store, read });
        store.put("targets", "t", entry(2));
        const returned = await read();
        expect(returned._unsafeUnwrap().targets.map(({ entry: changedEntry }) => changedEntry?.sequence)).to.deep.equal([2]);
        await clock.advance(5_000);
        await read();
        expect(stateOf()).to.equal("ready");
    });

    it("applies a removal after the target's return during an outage, although an earlier one was deferred", async () => {
        const { clock, store, read, stateOf } = setUp();
        store.put("targets", "t", entry(1));
        await read();
        store.isDown = true;
        store.put("targets", "t", undefined);
        store.put("targets", "t", entry(2));
        store.put("targets", "t", undefined);
        await read();
        store.isDown = false;
        await read();
        await clock.advance(2_300);
        await read();
        expect(stateOf()).to.equal("gone");
    });

    it("keeps a target gone, or leaving, although it stands in the copy from which the store came back", async () => {
        for (const lost of [undefined, { ...entry(2), state: "draining" }]) {
            const { store, read, stateOf } = setUp();
            store.put("targets", "t", entry(1));
            await read();
            const copy = store.takeCopy();
            store.put("targets", "t", lost);
            await read();
            const before = stateOf();
            store.returnFrom(copy);
            await read();
            expect([before, stateOf()]).to.deep.equal(lost === undefined ? ["gone", "gone"] : ["draining", "draining"]);
            store.put("targets", "t", { ...entry(1), bornWallMs: 2 });
            await read();
            expect(stateOf(), "a new start of it").to.equal("ready");
        }
    });

    it("gives a target that the copy lacks the time to write its entry again", async () => {
        for (const isWrittenAgain of [true, false]) {
            const { clock, store, read, stateOf } = setUp();
            await read();
            const copy = store.takeCopy();
            store.put("targets", "t", entry(1));
            await read();
            store.returnFrom(copy);
            await read();
            expect(stateOf()).to.equal("ready");
            if (isWrittenAgain) {
                store.put("targets", "t", entry(2));
                await read();
            }
            await clock.advance(2_300);
            await read();
            expect(stateOf()).to.equal(isWrittenAgain ? "ready" : "gone");
        }
    });

    it("does not replace a configuration with an older version", async () => {
        const { read, put } = setUpConfiguration();
        const versions: (number | undefined)[] = [];
        for (const version of [5, 4, 9]) {
            put(version);
            versions.push(await read());
        }
        expect(versions).to.deep.equal([5, 5, 9]);
    });

    it("applies a configuration that stands at an offset that it has read already, after the store came back from an older copy", async () => {
        const { store, read, put } = setUpConfiguration();
        [3, 5, 7].forEach(put);
        expect(await read()).to.equal(7);
        store.loseNewest("configuration", 2);
        expect(await read()).to.equal(7);
        put(8);
        const callCount = store.callCount;
        expect(await read()).to.equal(8);
        expect(store.callCount - callCount).to.equal(1);
    });

    it("applies a configuration that was written before the topic is read again after the store came back from an older copy", async () => {
        const { store, read, put } = setUpConfiguration();
        [3, 5, 7].forEach(put);
        expect(await read()).to.equal(7);
        store.loseNewest("configuration", 2);
        [8, 9].forEach(put);
        expect(await read()).to.equal(9);
    });

    it("reads on until it has the newest record, also if one answer of the store does not hold all of them", async () => {
        const { store, read, put } = setUpConfiguration();
        put(3);
        expect(await read()).to.equal(3);
        store.maxPageRecords = 1;
        [5, 7, 8].forEach(put);
        expect(await read()).to.equal(8);
    });
});
