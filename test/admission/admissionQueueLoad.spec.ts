import { expect } from "chai";
import type { AdmissionVerdict, Ticket } from "../../src/admission/admissionRequest.js";
import type { WorkEnd } from "../../src/admission/workEnd.js";
import { ClientWaitEstimator } from "../../src/forwarding/clientWaitEstimator.js";
import { SeededRandom } from "../support/seededRandom.js";
import { formatVerdicts, queueOf, request, target } from "./queueFixtures.js";

const meanWorkMs = 120;

/** Draws a log-normal work time with a mean of about `meanWorkMs`, at most 900 ms: like real requests, most are short and some long. */
function drawWorkMs(random: () => number): number {
    const spread = 0.8;
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return Math.min(900, meanWorkMs * Math.exp(spread * normal - spread * spread / 2));
}

interface HotKeyLoad {
    perSecond: number;
    slots: number;
    seconds: number;
    targetLatencyMs: number;
    budgetMs: number;
}

/**
 * Simulates requests for one key at several times the capacity of its owner. Clients that are refused retry up to two times, each
 * time after at most a third of their remaining time; the shorter deadline of a retry shows that its client has waited before.
 */
function simulateHotKey(load: HotKeyLoad): { inTime: number; served: number; meanRefusalDelayMs: number } {
    const { perSecond, slots, seconds, targetLatencyMs, budgetMs } = load;
    const seeded = new SeededRandom(7);
    const random = () => seeded.uniform();
    const queue = queueOf(target("t1", { slots }));
    const events = new EventQueue();
    const waitEstimator = new ClientWaitEstimator();
    const clients = new Map<Ticket, { firstMs: number; retriesLeft: number; offeredMs: number }>();
    let served = 0;
    let inTime = 0;
    const refusalDelaysMs: number[] = [];
    const handleVerdicts = (verdicts: readonly AdmissionVerdict[], nowMs: number) => {
        for (const verdict of verdicts) {
            const client = clients.get(verdict.ticket) as { firstMs: number; retriesLeft: number; offeredMs: number };
            if (verdict.kind === "granted") {
                const tookMs = drawWorkMs(random);
                events.schedule(nowMs + tookMs, (endMs) => {
                    served += 1;
                    inTime += endMs - client.firstMs <= targetLatencyMs ? 1 : 0;
                    handleVerdicts(queue.finish(verdict.ticket, { kind: "answered", tookMs }, endMs), endMs);
                });
                continue;
            }
            refusalDelaysMs.push(nowMs - client.offeredMs);
            waitEstimator.recordRefusal("route", nowMs);
            const leftMs = client.firstMs + budgetMs - nowMs;
            if (client.retriesLeft > 0 && leftMs > 0) {
                events.schedule(nowMs + Math.min(verdict.retryAfterMs, leftMs / 3), (againMs) => {
                    offer(client.firstMs, client.retriesLeft - 1, againMs);
                });
            }
        }
    };
    let ticketCount = 0;
    const offer = (firstMs: number, retriesLeft: number, nowMs: number) => {
        const ticket = String(ticketCount++) as Ticket;
        clients.set(ticket, { firstMs, retriesLeft, offeredMs: nowMs });
        const waitedMs = waitEstimator.estimateWaitMs("route", firstMs + budgetMs * (0.85 + 0.15 * random()) - nowMs, nowMs);
        const times = { arrivedMs: nowMs, softDeadlineMs: nowMs + targetLatencyMs - waitedMs, deadlineMs: firstMs + budgetMs };
        handleVerdicts(queue.offer(request(ticket, { workMs: meanWorkMs, ...times }), nowMs), nowMs);
    };
    for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += 1_000 / perSecond) {
        events.schedule(nowMs, (atMs) => {
            offer(atMs, 2, atMs);
        });
    }
    for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += 25) {
        events.schedule(nowMs, (atMs) => {
            handleVerdicts(queue.tick(atMs), atMs);
        });
    }
    events.run(seconds * 1_000);
    return { inTime, served, meanRefusalDelayMs: refusalDelaysMs.reduce((sum, ms) => sum + ms, 0) / refusalDelaysMs.length };
}

/** Events in order of time. */
class EventQueue {
    private events: { atMs: number; run: (atMs: number) => void }[] = [];

    schedule(atMs: number, run: (atMs: number) => void): void {
        const index = this.events.findIndex((event) => event.atMs > atMs);
        this.events.splice(index < 0 ? this.events.length : index, 0, { atMs, run });
    }

    run(untilMs: number): void {
        for (let next = this.events.shift(); next !== undefined && next.atMs < untilMs; next = this.events.shift()) {
            next.run(next.atMs);
        }
    }
}

describe("admission queue", () => {
    it("uses at least nine tenths of the slots under twofold load, and answers at least nine tenths within the target latency", () => {
        const queue = queueOf(target("t1", { slots: 3 }));
        const ends: { ticket: Ticket; atMs: number; startedMs: number }[] = [];
        let served = 0;
        let inTime = 0;
        const arrivals = new Map<string, number>();
        const handleVerdicts = (verdicts: readonly AdmissionVerdict[], nowMs: number) => {
            verdicts.filter((verdict) => verdict.kind === "granted")
                .forEach(({ ticket }) => ends.push({ ticket, atMs: nowMs + 100, startedMs: nowMs }));
        };
        for (let nowMs = 0; nowMs < 10_000; nowMs += 1) {
            if (nowMs % 17 === 0) {
                const name = String(nowMs);
                arrivals.set(name, nowMs);
                handleVerdicts(queue.offer(
                    request(name, { arrivedMs: nowMs, softDeadlineMs: nowMs + 300, deadlineMs: nowMs + 1_000 }), nowMs), nowMs);
            }
            for (const end of ends.filter(({ atMs }) => atMs <= nowMs)) {
                ends.splice(ends.indexOf(end), 1);
                served += 1;
                inTime += nowMs - (arrivals.get(end.ticket) ?? 0) <= 300 ? 1 : 0;
                handleVerdicts(queue.finish(end.ticket, { kind: "answered", tookMs: 100 }, nowMs), nowMs);
            }
            handleVerdicts(queue.tick(nowMs), nowMs);
        }
        expect(served).to.be.above(300 * 0.9);
        expect(inTime / served).to.be.above(0.9);
    });

    it("gives the slots of a hot key's owner to clients that can still be answered in time, although refused clients retry twice", () => {
        const { inTime, served, meanRefusalDelayMs } = simulateHotKey(
            { perSecond: 160, slots: 6, seconds: 12, targetLatencyMs: 400, budgetMs: 2_500 });
        const capacity = 6 * 12_000 / meanWorkMs;
        expect(served).to.be.above(capacity * 0.9);
        expect(inTime / served).to.be.above(0.85);
        expect(meanRefusalDelayMs).to.be.below(100);
    });

    it("observes the slowness of targets and prefers the faster one", () => {
        const queue = queueOf(target("slow"), target("quick"));
        for (let round = 0; round < 20; round++) {
            for (const verdict of [...queue.offer(request(`x${String(round)}`), 0), ...queue.offer(request(`y${String(round)}`), 0)]) {
                if (verdict.kind === "granted") {
                    queue.finish(verdict.ticket, { kind: "answered", tookMs: verdict.targetId === "slow" ? 140 : 60 }, 0);
                }
            }
        }
        const slowness = Object.fromEntries(queue.describeTargets().map((one) => [one.targetId, one.slowness]));
        expect(slowness["quick"]).to.be.closeTo(0.6, 0.1);
        expect(formatVerdicts(queue.offer(request("z"), 0))).to.deep.equal(["z to quick"]);
    });

    /**
     * Returns the share of the requests in each second that are sent to one of three targets. This target takes `workMs` for a
     * request, the others take 100 ms.
     */
    function shareBySecond(observedTarget: string, workMs: (nowMs: number) => number): number[] {
        const queue = queueOf(target("t1"), target("t2"), target(observedTarget));
        const grants: { atMs: number; targetId: string }[] = [];
        const ends: { ticket: Ticket; atMs: number; end: WorkEnd }[] = [];
        const timeoutMs = 400;
        const handleVerdicts = (verdicts: readonly AdmissionVerdict[], nowMs: number) => {
            for (const { ticket, targetId } of verdicts.filter((verdict) => verdict.kind === "granted")) {
                grants.push({ atMs: nowMs, targetId });
                const tookMs = targetId === observedTarget ? workMs(nowMs) : 100;
                ends.push(tookMs > timeoutMs
                    ? { ticket, atMs: nowMs + timeoutMs, end: { kind: "late", afterMs: timeoutMs } }
                    : { ticket, atMs: nowMs + tookMs, end: { kind: "answered", tookMs } });
            }
        };
        for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
            if (nowMs % 40 === 0) {
                const offered = request(String(nowMs), { arrivedMs: nowMs, softDeadlineMs: nowMs + 300, deadlineMs: nowMs + 1_000 });
                handleVerdicts(queue.offer(offered, nowMs), nowMs);
            }
            for (const { ticket, end } of ends.filter(({ atMs }) => atMs === nowMs)) {
                handleVerdicts(queue.finish(ticket, end, nowMs), nowMs);
            }
            handleVerdicts(queue.tick(nowMs), nowMs);
        }
        return Array.from({ length: 10 }, (_, second) => {
            const grantsInSecond = grants.filter(({ atMs }) => Math.floor(atMs / 1_000) === second);
            return grantsInSecond.filter(({ targetId }) => targetId === observedTarget).length / grantsInSecond.length;
        });
    }

    it("sends hardly any requests to a target that has stopped answering while others have free slots", () => {
        const shares = shareBySecond("silent", () => Number.POSITIVE_INFINITY).slice(2);
        expect(shares.reduce((sum, share) => sum + share, 0) / shares.length).to.be.below(0.05);
    });

    it("uses a target again within seconds after it has recovered from being slow", () => {
        const shares = shareBySecond("once slow", (nowMs) => nowMs < 2_000 ? 600 : 100);
        expect(shares.slice(7).every((share) => share > 0.2)).to.equal(true);
    });
});
