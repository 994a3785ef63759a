import { expect } from "chai";
import type { Ticket } from "../../src/admission/admissionRequest.js";
import type { Fingerprint } from "../../src/crashes/requestFingerprint.js";
import type { TargetId } from "../../src/model/names.js";
import { formatVerdicts, queueOf, request, target, there } from "./queueFixtures.js";

describe("admission queue", () => {
    it("never sends a target more requests than it has slots, and grants a freed slot at once", () => {
        const queue = queueOf(target("t1"));
        expect(formatVerdicts(["a", "b", "c"].flatMap((name) => queue.offer(request(name), 0)))).to.deep.equal(["a to t1", "b to t1"]);
        expect(queue.waitingCount).to.equal(1);
        expect(formatVerdicts(queue.finish("a" as Ticket, { kind: "answered", tookMs: 100 }, 100))).to.deep.equal(["c to t1"]);
    });

    it("grants slots by priority, and within a priority by the earliest soft deadline", () => {
        const queue = queueOf(target("t1", { slots: 1 }));
        queue.offer(request("running"), 0);
        queue.offer(request("read"), 0);
        queue.offer(request("sooner", { softDeadlineMs: 290 }), 0);
        queue.offer(request("order", { priority: 1 }), 0);
        const order: string[] = [];
        for (let last = "running"; queue.waitingCount > 0;) {
            const [next] = queue.finish(last as Ticket, { kind: "dropped" }, 10);
            last = next?.ticket ?? "";
            order.push(last);
        }
        expect(order).to.deep.equal(["order", "sooner", "read"]);
    });

    it("sends requests that can meet their target latency before those that cannot", () => {
        const queue = queueOf(target("t1", { slots: 1 }));
        queue.offer(request("running"), 0);
        queue.offer(request("late", { priority: 1, softDeadlineMs: 150 }), 0);
        queue.offer(request("fresh", { softDeadlineMs: 400 }), 0);
        expect(formatVerdicts(queue.finish("running" as Ticket, { kind: "dropped" }, 100))).to.deep.equal(["fresh to t1"]);
    });

    it("refuses a request at once, with a retry delay, if it cannot be answered before its deadline", () => {
        const queue = queueOf(target("t1", { slots: 1 }));
        const names = Array.from({ length: 12 }, (_, index) => String(index));
        const verdicts = names.flatMap((name) => queue.offer(request(name, { deadlineMs: 500, softDeadlineMs: 400 }), 0));
        const refused = verdicts.filter((verdict) => verdict.kind === "refused");
        expect(refused).to.have.length.above(5);
        expect(refused.every(({ reason, retryAfterMs }) => reason === "overloaded" && retryAfterMs >= 50)).to.equal(true);
    });

    it("refuses a waiting request as soon as it can no longer meet its deadline", () => {
        const queue = queueOf(target("t1", { slots: 1 }));
        queue.offer(request("running"), 0);
        queue.offer(request("waiting", { deadlineMs: 400 }), 0);
        expect(formatVerdicts(queue.tick(250))).to.deep.equal([]);
        expect(formatVerdicts(queue.tick(350))).to.deep.equal(["waiting overloaded"]);
    });

    it("waits for a target in the local data centre while the request can be in time there, then uses a remote one", () => {
        const queue = queueOf(target("near", { slots: 1 }), target("far", { dataCentreId: there }));
        expect(formatVerdicts(queue.offer(request("a"), 0))).to.deep.equal(["a to near"]);
        expect(formatVerdicts(queue.offer(request("b"), 0))).to.deep.equal([]);
        expect(formatVerdicts(queue.tick(50))).to.deep.equal([]);
        expect(formatVerdicts(queue.tick(150))).to.deep.equal(["b to far"]);
    });

    it("pauses a target that could not be reached, and avoids targets that the request has already tried", () => {
        const queue = queueOf(target("t1"), target("t2"));
        const [first] = queue.offer(request("a"), 0);
        const tried = first?.kind === "granted" ? first.targetId : "" as TargetId;
        queue.finish("a" as Ticket, { kind: "unreachable" }, 0);
        const [second] = queue.offer(request("a again", { avoid: new Set([tried]) }), 10);
        expect(second?.kind === "granted" && second.targetId !== tried).to.equal(true);
    });

    it("frees the slots of requests whose end was never reported, and refuses requests at once when no target is open", () => {
        const queue = queueOf(target("t1", { slots: 1 }));
        queue.offer(request("lost", { deadlineMs: 500 }), 0);
        queue.offer(request("waiting", { deadlineMs: 5_000, softDeadlineMs: 4_000 }), 0);
        expect(formatVerdicts(queue.tick(1_600))).to.deep.equal(["waiting to t1"]);
        queue.setTargets([target("t1", { isOpen: false })], 1_600);
        expect(formatVerdicts(queue.offer(request("b", { deadlineMs: 9_000 }), 1_600))).to.deep.equal(["b no-target"]);
    });

    it("sends no requests of a host to a target that asked this host to back off, while other hosts use it", () => {
        const queue = queueOf(target("t1"), target("t2"));
        const [granted] = queue.offer(request("a"), 0);
        const closed = granted?.kind === "granted" ? granted.targetId : "";
        const open = closed === "t1" ? "t2" : "t1";
        queue.finish("a" as Ticket, { kind: "turned-away", pauseMs: 900 }, 10);
        const ofHost1 = ["b", "c", "d"].flatMap((name) => queue.offer(request(name, { deadlineMs: 3_000 }), 100));
        expect(formatVerdicts(ofHost1)).to.deep.equal([`b to ${open}`, `c to ${open}`]);
        const ofHost2 = ["e", "f"].flatMap((name) => queue.offer(request(name, { sender: "host-2" }), 100));
        expect(formatVerdicts(ofHost2)).to.deep.equal([`e to ${closed}`, `f to ${closed}`]);
        queue.finish("e" as Ticket, { kind: "answered", tookMs: 100 }, 200);
        expect(formatVerdicts(queue.tick(900))).to.deep.equal([]);
        expect(formatVerdicts(queue.tick(920))).to.deep.equal([`d to ${closed}`]);
    });

    it("refuses a request at once, with the remaining back-off, when every target asked its host to back off", () => {
        const queue = queueOf(target("t1"));
        queue.offer(request("a"), 0);
        queue.finish("a" as Ticket, { kind: "turned-away", pauseMs: 600 }, 0);
        const [verdict] = queue.offer(request("b"), 100);
        expect(verdict).to.include({ kind: "refused", reason: "paused" });
        expect(verdict?.kind === "refused" ? verdict.retryAfterMs : 0).to.be.closeTo(500, 130);
        expect(formatVerdicts(queue.offer(request("c", { sender: "host-2" }), 100))).to.deep.equal(["c to t1"]);
        expect(formatVerdicts(queue.offer(request("d"), 700))).to.deep.equal(["d to t1"]);
    });

    it("runs suspected requests one at a time at a target, and one of each content at all, while others go on", () => {
        const queue = queueOf(target("t1"), target("t2"), target("t3"));
        const suspect = (name: string, fingerprint: string) => request(name, { suspect: fingerprint as Fingerprint, deadlineMs: 5_000 });
        expect(formatVerdicts(queue.offer(suspect("a", "deadly"), 0))).to.deep.equal(["a to t1"]);
        expect(formatVerdicts(queue.offer(suspect("b", "deadly"), 1))).to.deep.equal([]);
        expect(formatVerdicts(queue.offer(suspect("c", "unlucky"), 2))).to.deep.equal(["c to t2"]);
        expect(formatVerdicts(queue.offer(suspect("d", "other"), 3))).to.deep.equal(["d to t3"]);
        expect(formatVerdicts(queue.offer(suspect("e", "another"), 4))).to.deep.equal([]);
        expect(formatVerdicts(queue.offer(request("f"), 5))).to.deep.equal(["f to t1"]);
        expect(formatVerdicts(queue.finish("c" as Ticket, { kind: "answered", tookMs: 90 }, 90))).to.deep.equal(["e to t2"]);
        expect(formatVerdicts(queue.finish("a" as Ticket, { kind: "lost" }, 100)), "until hosts know whether t1 crashed").to.deep.equal([]);
        expect(formatVerdicts(queue.tick(1_050))).to.deep.equal([]);
        expect(formatVerdicts(queue.tick(1_150))).to.deep.equal(["b to t1"]);
    });
});
