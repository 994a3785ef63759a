import { expect } from "chai";
import { ok } from "neverthrow";
import type { Address, DataCentreId, HostId, ServiceId, TargetId } from "../../src/model/names.js";
import type { TargetEntry } from "../../src/model/target.js";
import { ClusterView } from "../../src/store/clusterView.js";
import type { RecordDecoders } from "../../src/store/recordDecoders.js";
import { createTopicReader } from "../../src/store/topicReader.js";
import { Random } from "../support/random.js";
import { VirtualClock, VirtualProcess } from "../support/virtualTime.js";
import { VirtualStore } from "../world/virtualStore.js";

const host = "h" as HostId;
const decoders: RecordDecoders = {
    configuration: (_key, value) => ok(JSON.parse(value.toString()) as never),
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
    const store = new VirtualStore(clock, new Random(1));
    const view = new ClusterView();
    const lines: string[] = [];
    const line = (event: string) => lines.push(event);
    const reader = createTopicReader({
        store: store.portFor(host, new VirtualProcess(clock)), decoders, view, clock, log: { info: line, warn: line, error: line },
    });
    const read = async () => {
        const reading = reader.read("targets", 0);
        await clock.advance(1_300);
        return reading;
    };
    return { clock, store, view, read, stateOf: () => view.targets.get("t" as TargetId)?.state };
}

/** Has a target's entry go while the store is away. */
async function lapseWhileAway({ store, read }: Pick<ReturnType<typeof setUp>, "store" | "read">): Promise<void> {
    store.put("targets", "t", entry(1));
    await read();
    store.isDown = true;
    store.put("targets", "t", undefined);
    await read();
    store.isDown = false;
    await read();
}

describe("reader of the store's topics", () => {
    it("takes a removal at once while the store is well", async () => {
        const { store, read, stateOf } = setUp();
        store.put("targets", "t", entry(1));
        await read();
        store.put("targets", "t", undefined);
        await read();
        expect(stateOf()).to.equal("gone");
    });

    it("puts a removal off that came while the store was away, and takes it when the target has not come back in time", async () => {
        const { clock, store, read, stateOf } = setUp();
        await lapseWhileAway({ store, read });
        expect(stateOf()).to.equal("ready");
        await clock.advance(2_300);
        await read();
        expect(stateOf()).to.equal("gone");
    });

    it("forgets such a removal when the target comes back in time, and passes its entry on", async () => {
        const { clock, store, read, stateOf } = setUp();
        await lapseWhileAway({ store, read });
        store.put("targets", "t", entry(2));
        const returned = await read();
        expect(returned._unsafeUnwrap().targets.map(({ entry: of }) => of?.sequence)).to.deep.equal([2]);
        await clock.advance(5_000);
        await read();
        expect(stateOf()).to.equal("ready");
    });

    it("takes a removal that came after the target's return, though one before was put off", async () => {
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

    it("keeps a configuration in force against older versions and older offsets", async () => {
        const { clock, store, view } = setUp();
        const reader = createTopicReader({
            store: store.portFor(host, new VirtualProcess(clock)), decoders, view, clock,
            log: { info: () => undefined, warn: () => undefined, error: () => undefined },
        });
        const put = async (version: number) => {
            store.put("configuration", "config", { version, routes: [], services: [] });
            const reading = reader.read("configuration", 0);
            await clock.advance(50);
            await reading;
            return view.config?.config.version;
        };
        expect(await put(5)).to.equal(5);
        expect(await put(4)).to.equal(5);
        expect(await put(9)).to.equal(9);
    });
});
