import { expect } from "chai";
import { platformDecoders } from "../../platform/decoders.js";
import type { Address, DataCentreId, Offset, ServiceId, TargetId } from "../../src/model/names.js";
import { mayReceive } from "../../src/model/target.js";
import { ClusterView } from "../../src/store/clusterView.js";
import type { EvacuationChange } from "../../src/store/evacuations.js";
import { Evacuations } from "../../src/store/evacuations.js";

const a = "a" as DataCentreId;
const b = "b" as DataCentreId;

function change(dataCentreId: DataCentreId, offset: number, isInForce = true): EvacuationChange {
    return { dataCentreId, offset: offset as Offset, isInForce };
}

function namesInForce(evacuations: Evacuations): string[] {
    return evacuations.inForce().map(({ dataCentreId }) => dataCentreId);
}

describe("evacuations", () => {
    it("begin and end by the newest record of each data centre, whatever the order in which records are read", () => {
        const evacuations = new Evacuations(0);
        evacuations.apply([change(a, 5)], 100);
        expect(evacuations.sinceMs(a)).to.equal(100);
        evacuations.apply([change(a, 7, false)], 200);
        expect(evacuations.apply([change(a, 6)], 300)).to.deep.equal([]);
        expect(evacuations.sinceMs(a)).to.equal(undefined);
        expect(evacuations.leavingSinceMs(a)).to.equal(undefined);
    });

    it("keep the time at which they became known when they are read again", () => {
        const evacuations = new Evacuations(0);
        evacuations.apply([change(a, 5)], 100);
        expect(evacuations.apply([change(a, 5)], 900)).to.deep.equal([]);
        expect(evacuations.sinceMs(a)).to.equal(100);
    });

    it("end if a complete list lacks them, but not if the list is older than their record", () => {
        const evacuations = new Evacuations(0);
        evacuations.apply([change(a, 5), change(b, 9)], 100);
        evacuations.replace([], 8 as Offset, 200);
        expect(namesInForce(evacuations)).to.deep.equal(["b"]);
    });

    it("stay as they are known when the store comes back from a copy that lacks their beginning, or their end", () => {
        const evacuations = new Evacuations(0);
        evacuations.apply([change(a, 5), change(b, 6)], 100);
        evacuations.apply([change(b, 8, false)], 150);
        evacuations.mergeOlderCopy([change(b, 1_002)], 1_003 as Offset, 200);
        expect(namesInForce(evacuations)).to.deep.equal(["a"]);
        evacuations.apply([change(a, 1_004, false), change(b, 1_005)], 300);
        expect(namesInForce(evacuations)).to.deep.equal(["b"]);
    });

    it("make targets count as leaving since they became known, if they cannot have been in force for long before", () => {
        const evacuations = new Evacuations(1_600);
        evacuations.confirm(9_000);
        evacuations.apply([change(a, 5)], 10_000);
        expect(evacuations.leavingSinceMs(a)).to.equal(10_000);
    });

    it("make targets count as leaving for longer if this host may have learned of them late, so that the bound holds there too", () => {
        const restarted = new Evacuations(1_600);
        restarted.apply([change(a, 5)], 10_000);
        expect(restarted.leavingSinceMs(a)).to.equal(Number.NEGATIVE_INFINITY);
        const cutOff = new Evacuations(1_600);
        cutOff.confirm(5_000);
        cutOff.apply([change(a, 5)], 10_000);
        cutOff.confirm(10_000);
        cutOff.apply([change(a, 6)], 11_000);
        expect(cutOff.leavingSinceMs(a)).to.equal(6_600);
    });

    it("are bounded in number, so that absurd records take no memory", () => {
        const evacuations = new Evacuations(0);
        evacuations.apply(Array.from({ length: 5_000 }, (_, index) => change(`dc${String(index)}` as DataCentreId, index)), 0);
        expect(evacuations.inForce().length).to.equal(1_000);
    });
});

describe("targets of an evacuated data centre", () => {
    const entry = (targetId: string, dataCentreId: DataCentreId, sequence: number) => ({
        targetId: targetId as TargetId, serviceId: "s" as ServiceId, address: "t:80" as Address, dataCentreId, slots: 2,
        state: "ready" as const, bornWallMs: 1, sequence, warmingUp: false,
    });
    const apply = (view: ClusterView, name: string, dataCentreId: DataCentreId, sequence: number, nowMs: number) => {
        view.applyTargets([{ targetId: name as TargetId, offset: sequence as Offset, entry: entry(name, dataCentreId, sequence) }],
            sequence + 1 as Offset, nowMs);
    };
    const stateOf = (view: ClusterView, name: string) => view.targets.get(name as TargetId)?.state;

    it("count as draining, also those that register while it lasts, and are ready again when it ends", () => {
        const view = new ClusterView();
        apply(view, "t1", a, 1, 0);
        apply(view, "t2", b, 2, 0);
        view.applyEvacuations(view.evacuations.apply([change(a, 3)], 1_000), 1_000);
        apply(view, "t3", a, 4, 1_500);
        expect(["t1", "t2", "t3"].map((name) => stateOf(view, name))).to.deep.equal(["draining", "ready", "draining"]);
        expect(mayReceive(view.targets.get("t1" as TargetId)!, 500, 1_600)).to.equal(false);
        view.applyEvacuations(view.evacuations.apply([change(a, 5, false)], 2_000), 2_000);
        expect(["t1", "t2", "t3"].map((name) => stateOf(view, name))).to.deep.equal(["ready", "ready", "ready"]);
        expect(mayReceive(view.targets.get("t1" as TargetId)!, 500, 9_000)).to.equal(true);
    });

    it("get no requests at a host that starts after the bound, also if they register only then", () => {
        const view = new ClusterView();
        apply(view, "t1", a, 1, 1_000);
        view.applyEvacuations(view.evacuations.apply([change(a, 3)], 1_000), 1_000);
        apply(view, "t2", a, 4, 1_001);
        expect(["t1", "t2"].map((name) => mayReceive(view.targets.get(name as TargetId)!, 500, 1_002))).to.deep.equal([false, false]);
    });

    it("count as returned when it ends, when they register again and when a later process does, but not when first known", () => {
        const view = new ClusterView();
        const returnedAtMs = (name: string) => view.targets.returnedAtMs(name as TargetId);
        apply(view, "t1", a, 1, 0);
        apply(view, "t2", b, 2, 0);
        expect(["t1", "t2"].map(returnedAtMs)).to.deep.equal([undefined, undefined]);
        view.applyEvacuations(view.evacuations.apply([change(a, 3)], 1_000), 1_000);
        view.applyEvacuations(view.evacuations.apply([change(a, 5, false)], 2_000), 2_000);
        expect(["t1", "t2"].map(returnedAtMs)).to.deep.equal([2_000, undefined]);
        view.applyTargets([{ targetId: "t2" as TargetId, offset: 6 as Offset, entry: undefined }], 7 as Offset, 2_500);
        apply(view, "t2", b, 7, 3_000);
        expect(returnedAtMs("t2")).to.equal(3_000);
        view.applyTargets([{ targetId: "t1" as TargetId, offset: 8 as Offset, entry: { ...entry("t1", a, 1), bornWallMs: 2 } }],
            9 as Offset, 4_000);
        expect(returnedAtMs("t1")).to.equal(4_000);
    });

    it("stay draining after it ends if they have announced that they are leaving", () => {
        const view = new ClusterView();
        apply(view, "t1", a, 1, 0);
        view.recordLeaving({ targetId: "t1" as TargetId, bornWallMs: 1 }, 500);
        view.applyEvacuations(view.evacuations.apply([change(a, 3)], 1_000), 1_000);
        view.applyEvacuations(view.evacuations.apply([change(a, 4, false)], 2_000), 2_000);
        expect(stateOf(view, "t1")).to.equal("draining");
    });

    it("do not change the digest by which hosts compare their targets, since a host of an earlier version knows no evacuation", () => {
        const view = new ClusterView();
        apply(view, "t1", a, 1, 0);
        const digest = view.targets.digest();
        view.applyEvacuations(view.evacuations.apply([change(a, 3)], 1_000), 1_000);
        expect(view.targets.digest()).to.equal(digest);
    });
});

describe("decoder of evacuations", () => {
    const decode = (key: string, text: string | undefined) =>
        platformDecoders.evacuation(key, text === undefined ? undefined : Buffer.from(text));

    it("returns the data centre of a record, and nothing for other keys", () => {
        expect(decode("evacuate/klang-a", "{}")._unsafeUnwrap()).to.equal("klang-a");
        expect(decode("evacuate/klang-a", undefined)._unsafeUnwrap()).to.equal("klang-a");
        expect(decode("config", "{}")._unsafeUnwrap()).to.equal(undefined);
    });

    it("rejects a name that is none and a value that is not JSON, so that they evacuate nothing", () => {
        expect(decode("evacuate/", "{}").isErr()).to.equal(true);
        expect(decode(`evacuate/${"x".repeat(500)}`, "{}").isErr()).to.equal(true);
        expect(decode("evacuate/klang-a", "\u0000").isErr()).to.equal(true);
    });
});
