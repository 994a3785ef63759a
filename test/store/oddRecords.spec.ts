import { expect } from "chai";
import { ok } from "neverthrow";
import { platformDecoders } from "../../platform/decoders.js";
import type { Offset, ServiceId } from "../../src/model/names.js";
import type { LogFields } from "../../src/observe/log.js";
import { ClusterView } from "../../src/store/clusterView.js";
import type { RecordDecoders } from "../../src/store/recordDecoders.js";
import type { StorePort, StoreRecord, TopicName } from "../../src/store/storePort.js";
import { createTopicReader } from "../../src/store/topicReader.js";
import { deepJson } from "../support/oddValues.js";
import { buildRoutingConfig } from "../fleet/fleet.js";
import { VirtualClock } from "../support/virtualTime.js";

const serviceId = "leases" as ServiceId;

function entry(sequence: number, overrides: object = {}): string {
    return JSON.stringify({
        service: serviceId, address: "10.0.0.9:8080", zone: "a", version: "v1", max_concurrency: 3, state: "ready", warmup_left_ms: 0, sequence,
        born: 1_700_000_000_000, ...overrides,
    });
}

/** A reader of topics whose records the test appends. */
function createReader(decoders: RecordDecoders = platformDecoders) {
    const records: Record<TopicName, StoreRecord[]> = { configuration: [], targets: [], ledger: [] };
    const store: StorePort = {
        snapshot: (topic) => Promise.resolve(ok({
            records: [...records[topic]], upTo: records[topic].length as Offset, era: undefined,
        })),
        read: (topic, from) => Promise.resolve(ok({
            kind: "page" as const,
            page: {
                records: records[topic].slice(from), era: undefined,
                next: records[topic].length as Offset, end: records[topic].length as Offset,
            },
        })),
        append: () => Promise.resolve(ok({ kind: "conflict" as const })),
    };
    const view = new ClusterView();
    const warnings: LogFields[] = [];
    const reader = createTopicReader({
        store, decoders, view, clock: new VirtualClock(),
        log: { info: () => undefined, warn: (_event, fields) => warnings.push(fields ?? {}), error: () => undefined },
    });
    const write = (topic: TopicName, key: string, value: string | undefined) => {
        const stored = value === undefined ? undefined : Buffer.from(value);
        records[topic].push({ offset: records[topic].length as Offset, key, value: stored });
    };
    const read = (topic: TopicName) => reader.read(topic, 0);
    const append = async (topic: TopicName, key: string, value: string | undefined) => {
        write(topic, key, value);
        return (await read(topic))._unsafeUnwrap();
    };
    const states = () => view.targets.ofService(serviceId).map(({ targetId, state }) => `${targetId} ${state}`);
    return { view, warnings, write, append, read, states };
}

describe("odd records among good ones", () => {
    const oddValues = {
        "a port out of range": entry(9, { address: "10.0.0.9:99999" }),
        "a number too large": entry(9, { max_concurrency: 4_294_967_296 }),
        "an unknown field nested 100000 deep": `${entry(9).slice(0, -1)},"later":${deepJson(100_000)}}`,
        "a sequence too large": entry(9_007_199_254_740_991),
        "a start far in the future": entry(9, { born: 9_007_199_254_740_991 }),
    };
    for (const [name, odd] of Object.entries(oddValues)) {
        it(`names no target to use, while the others hold: ${name}`, async () => {
            const { append, states, warnings } = createReader();
            await append("targets", "t-1", entry(1));
            await append("targets", "t-2", entry(1));
            await append("targets", "t-3", odd);
            expect(states()).to.deep.equal(["t-1 ready", "t-2 ready"]);
            const reading = await append("targets", "t-1", odd);
            expect(reading.targets.map(({ targetId, entry: changed }) => [targetId, changed])).to.deep.equal([["t-1", undefined]]);
            expect(states()).to.deep.equal(["t-1 gone", "t-2 ready"]);
            await append("targets", "t-1", entry(2));
            expect(states()).to.deep.equal(["t-1 ready", "t-2 ready"]);
            expect(warnings.map(({ target }) => target)).to.deep.equal(["t-3", "t-1"]);
            expect(JSON.stringify(warnings).length).to.be.below(1_000);
        });
    }

    it("keeps nothing of an entry whose key can be no id", async () => {
        const { view, append, warnings } = createReader();
        await append("targets", "t-1\r\nTarget-Instance: t-2", entry(1));
        await append("targets", "", entry(1));
        await append("targets", "", undefined);
        expect([...view.targets.all()]).to.deep.equal([]);
        expect(view.targets.changesSince(0 as Offset)).to.deep.equal([]);
        expect(view.targetsUpTo).to.equal(3);
        expect(warnings).to.have.length(2);
    });

    it("goes on reading when a decoder raises an error: the record is odd, and the others hold", async () => {
        const { append, states, warnings } = createReader({ ...platformDecoders, target: (key, value) => {
            if (key === "t-odd") {
                throw new RangeError("unexpected");
            }
            return platformDecoders.target(key, value);
        } });
        await append("targets", "t-1", entry(1));
        await append("targets", "t-odd", entry(1));
        await append("targets", "t-2", entry(1));
        expect(states()).to.deep.equal(["t-1 ready", "t-2 ready"]);
        expect(warnings.map(({ target, why }) => `${String(target)} ${String(why)}`)).to.deep.equal(["t-odd unexpected error: RangeError: unexpected"]);
    });

    it("reports an unexpected error while records are applied as a failed reading, and reads on", async () => {
        const { view, write, append, read, states } = createReader();
        await append("targets", "t-1", entry(1));
        const stopListening = view.targetsChanged.listen(() => {
            throw new RangeError("unexpected");
        });
        write("targets", "t-2", entry(1));
        const failed = await read("targets");
        stopListening();
        expect(failed._unsafeUnwrapErr()).to.include({ kind: "invalid", step: "store-read", peer: "targets" });
        expect((await read("targets")).isOk()).to.equal(true);
        await append("targets", "t-3", entry(1));
        expect(states()).to.deep.equal(["t-1 ready", "t-2 ready", "t-3 ready"]);
    });

    it("keeps the configuration in force when a later one can't be meant, and applies the next one", async () => {
        const { view, append, warnings } = createReader();
        await append("configuration", "config", JSON.stringify(buildRoutingConfig(1)));
        await append("configuration", "config", JSON.stringify(buildRoutingConfig(2, { timeoutMs: 2 ** 31 })));
        await append("configuration", "config", JSON.stringify({ ...buildRoutingConfig(3), version: "r99999999999999999999" }));
        expect(view.config?.config.version).to.equal(1);
        await append("configuration", "config", JSON.stringify(buildRoutingConfig(4)));
        expect(view.config?.config.version).to.equal(4);
        expect(warnings).to.have.length(2);
    });
});
