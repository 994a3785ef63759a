import { expect } from "chai";
import type { SlotDecision, SlotRequest } from "../../src/admission/admissionClient.js";
import { createDataCentreQueues } from "../../src/admission/dataCentreQueues.js";
import { QueueHosts } from "../../src/admission/queueHosts.js";
import { QueueWaits } from "../../src/admission/queueWaits.js";
import type { Member } from "../../src/cluster/membership.js";
import { Membership } from "../../src/cluster/membership.js";
import type { Address, DataCentreId, HostId, Offset, RunId, ServiceId, TargetId } from "../../src/model/names.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { VirtualClock } from "../support/virtualTime.js";
import { formatVerdicts, here, queueOf, request, target, there } from "./queueFixtures.js";

const serviceId = "s" as ServiceId;
const far = "far" as DataCentreId;

/** A client of queues of three data centres with one target each; `refusing` maps a data centre to the wait that its queue states. */
function setUp(dataCentres: readonly DataCentreId[] = [here, there, far]) {
    const view = new ClusterView();
    view.applyTargets(dataCentres.map((dataCentreId, index) => {
        const targetId = `t-${dataCentreId}` as TargetId;
        return { targetId, offset: index as Offset, entry: {
            targetId, serviceId, address: "t:80" as Address, dataCentreId, slots: 2, state: "ready", bornWallMs: 1, sequence: 1,
            warmingUp: false,
        } };
    }), 3 as Offset, 0);
    const clock = new VirtualClock();
    const asked: Pick<SlotRequest, "group" | "maxWaitMs">[] = [];
    const refusing = new Map<DataCentreId, number>();
    const reasons = new Map<DataCentreId, Extract<SlotDecision, { kind: "refused" }>["reason"]>();
    const enter = ({ group, maxWaitMs }: SlotRequest): Promise<SlotDecision> => {
        asked.push({ group, maxWaitMs });
        const dataCentreId = (group as { dataCentreId: DataCentreId }).dataCentreId;
        const waitMs = refusing.get(dataCentreId);
        return Promise.resolve(waitMs === undefined
            ? { kind: "granted", targetId: `t-${dataCentreId}` as TargetId, expectedMs: 100, isRateLimited: false, leave: () => undefined }
            : { kind: "refused", reason: reasons.get(dataCentreId) ?? "overloaded", retryAfterMs: waitMs });
    };
    const queues = createDataCentreQueues({
        admission: { enter }, view, clock, random: () => 0, isOpen: ({ state }) => state === "ready",
    });
    const place = (signal = new AbortController().signal) => queues.enter(serviceId, {
        priority: 1, workMs: 100, near: here, avoid: [], softDeadlineMs: clock.now().monoMs + 800, deadlineMs: clock.now().monoMs + 3_000,
    }, signal);
    const askedDataCentres = () => asked.splice(0).map(({ group }) => (group as { dataCentreId: DataCentreId }).dataCentreId);
    return { place, askedDataCentres, asked, refusing, reasons, clock };
}

describe("queues of a service in several data centres", () => {
    it("serve a request in its own data centre while that has room, so that no bytes cross between data centres", async () => {
        const { place, askedDataCentres } = setUp();
        expect(await place()).to.deep.include({ kind: "granted", targetId: "t-here" });
        expect(askedDataCentres()).to.deep.equal([here]);
    });

    it("let a request wait there only as long as it can still be in time elsewhere", async () => {
        const { place, asked } = setUp();
        await place();
        expect(asked[0]?.maxWaitMs).to.be.closeTo(420, 1);
    });

    it("send a request to the data centre with the shortest wait once its own is full", async () => {
        const { place, askedDataCentres, refusing } = setUp();
        refusing.set(here, 3_900).set(there, 3_700);
        await place();
        expect(askedDataCentres()).to.deep.equal([here, there]);
        expect(await place()).to.deep.include({ kind: "granted", targetId: "t-far" });
        expect(askedDataCentres()).to.deep.equal([here, far]);
    });

    it("return to a data centre that was full, since what was seen of it counts less as time passes", async () => {
        const { place, askedDataCentres, refusing, clock } = setUp([here, there]);
        refusing.set(here, 900).set(there, 950);
        await place();
        askedDataCentres();
        refusing.delete(there);
        await clock.advance(6_000);
        expect(await place()).to.deep.include({ kind: "granted", targetId: "t-there" });
    });

    it("do not ask a queue again that refused for another reason than a lack of room, since it would do so again", async () => {
        for (const reason of ["paused", "no-target", "no-host"] as const) {
            const { place, askedDataCentres, refusing, reasons } = setUp([here, there]);
            refusing.set(here, 0).set(there, 900);
            reasons.set(here, reason);
            await place();
            await place();
            expect(askedDataCentres(), reason).to.deep.equal([here, there, here, there]);
        }
    });

    it("serve a request in its own data centre after all if the other one is full and there is time", async () => {
        const { place, asked, refusing } = setUp([here, there]);
        refusing.set(here, 500).set(there, 3_000);
        await place();
        expect(asked.map(({ group, maxWaitMs }) => [(group as { dataCentreId: string }).dataCentreId, maxWaitMs === undefined]))
            .to.deep.equal([[here, false], [there, true], [here, true]]);
    });

    it("state the sooner of the retry times if neither queue can serve a request in time", async () => {
        const { place, refusing } = setUp([here, there]);
        refusing.set(here, 3_500).set(there, 5_000);
        expect(await place()).to.deep.include({ kind: "refused", retryAfterMs: 3_500 });
    });

    it("ask only once where all targets are in one data centre, with no limit on the wait", async () => {
        const { place, asked } = setUp([there]);
        await place();
        expect(asked).to.deep.equal([{ group: { kind: "service", serviceId, dataCentreId: there }, maxWaitMs: undefined }]);
    });

    it("ignore a clock that steps back", () => {
        const waits = new QueueWaits();
        waits.observe(serviceId, here, 500, 10_000);
        expect(waits.expectedMs(serviceId, here, 1_000)).to.equal(500);
    });
});

describe("admission queue with requests that may wait elsewhere", () => {
    it("refuses a request at once if it would wait for longer than it may, so that its sender can ask another queue", () => {
        const queue = queueOf(target("t1", { slots: 1 }));
        queue.offer(request("a"), 0);
        expect(formatVerdicts(queue.offer(request("b", { waitUntilMs: 50 }), 0))).to.deep.equal(["b overloaded"]);
        expect(formatVerdicts(queue.offer(request("c", { waitUntilMs: 150 }), 0))).to.deep.equal([]);
    });

    it("refuses a request once it has waited for as long as it may, though its deadline is far away", () => {
        const queue = queueOf(target("t1", { slots: 1 }));
        queue.offer(request("a"), 0);
        queue.offer(request("b", { waitUntilMs: 150 }), 0);
        expect(formatVerdicts(queue.tick(149))).to.deep.equal([]);
        expect(formatVerdicts(queue.tick(150))).to.deep.equal(["b overloaded"]);
    });

    it("grants a free slot to a request that may not wait at all", () => {
        const queue = queueOf(target("t1"));
        expect(formatVerdicts(queue.offer(request("a", { waitUntilMs: 0 }), 0))).to.deep.equal(["a to t1"]);
    });
});

describe("hosts of a data centre's queue", () => {
    const member = (name: string, dataCentreId: DataCentreId, more: Partial<Member> = {}): Member => ({
        hostId: name as HostId, runId: name as RunId, peerAddress: `${name}:1` as Address, dataCentreId, cpuShare: 1,
        keepsDataCentreQueues: true, ...more,
    });

    it("are those of that data centre first, the ones with most processor time before others", () => {
        const membership = new Membership(member("a", here, { cpuShare: 2 }));
        membership.update([member("b", there), member("c", there, { cpuShare: 1.3 })]);
        const ranked = new QueueHosts(membership, new ClusterView()).ranked({ kind: "service", serviceId, dataCentreId: there });
        expect(ranked.map(({ hostId }) => hostId)).to.deep.equal(["c", "b", "a"]);
    });

    it("are not used while a host of an earlier version would count the same slots in another queue", () => {
        const membership = new Membership(member("a", here));
        const queueHosts = new QueueHosts(membership, new ClusterView());
        expect(queueHosts.canAllKeepDataCentreQueues()).to.equal(true);
        membership.update([member("b", there, { keepsDataCentreQueues: undefined })]);
        expect(queueHosts.canAllKeepDataCentreQueues()).to.equal(false);
    });
});
