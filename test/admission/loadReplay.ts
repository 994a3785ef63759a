/** Replays a load of several kinds of requests and callers against one admission queue, without a network. */
import { AdmissionQueue } from "../../src/admission/admissionQueue.js";
import type { AdmissionVerdict, Ticket } from "../../src/admission/admissionRequest.js";
import { ClientWaitEstimator } from "../../src/forwarding/clientWaitEstimator.js";
import { SeededRandom } from "../support/seededRandom.js";
import { request, target } from "./queueFixtures.js";

/** A kind of requests. */
export interface ReplayedKind {
    priority: number;
    workMs: number;
    latencyMs: number;
    deadlineMs: number;
    /** Rate of first attempts at a time. */
    perSecond: (nowMs: number) => number;
}

/** The load, and the target. */
export interface Replay {
    kinds: readonly ReplayedKind[];
    slots: number;
    /** Work time at the target divided by the average. */
    slowness: number;
    seconds: number;
    /** Only requests that arrive from this time on are counted. */
    countFromMs: number;
    callerCount: number;
    /** Share of the callers that retry at once and three times as often. */
    impatientShare: number;
    sharesScarceCapacity: boolean;
    seed: number;
}

/** Outcome of the requests of a kind, or of a group of callers. */
export interface Outcome {
    asked: number;
    served: number;
    inTime: number;
    refusals: number;
}

/** Outcome of a replay. */
export interface ReplayOutcome {
    byPriority: Map<number, Outcome>;
    impatient: Outcome;
    patient: Outcome;
    /** Largest number of free slots that were reserved. */
    maxReserved: number;
    reservedAtEnd: number;
    /** Share of the slots' time, from `countFromMs` on, in which they had work. */
    usedShare: number;
}

interface Client {
    kind: ReplayedKind;
    caller: number;
    isImpatient: boolean;
    firstMs: number;
    retriesLeft: number;
}

const patientRetries = 3;
const impatientRetries = 9;

/** Time after which a client has the refusal and its next attempt arrives, with a delay of 8 ms each way. */
const roundTripMs = 16;

/** Spread of the work times; 1 in 100 requests takes 3 times as long. */
const workSpread = 0.5;
const longChance = 0.01;
const longRatio = 3;

const newOutcome = (): Outcome => ({ asked: 0, served: 0, inTime: 0, refusals: 0 });

/** Replays a load. */
export function replayLoad(replay: Replay): ReplayOutcome {
    const seeded = new SeededRandom(replay.seed);
    const random = () => seeded.uniform();
    const queue = new AdmissionQueue(() => random(), true, replay.sharesScarceCapacity);
    queue.setTargets([target("t1", { slots: replay.slots })], 0);
    const waitEstimator = new ClientWaitEstimator();
    const clients = new Map<Ticket, Client>();
    const byPriority = new Map(replay.kinds.map(({ priority }) => [priority, newOutcome()]));
    const [patient, impatient] = [newOutcome(), newOutcome()];
    const endMs = replay.seconds * 1_000;
    let maxReserved = 0;
    let usedMs = 0;
    const events: { atMs: number; run: (atMs: number) => void }[] = [];
    const schedule = (atMs: number, run: (atMs: number) => void) => {
        let index = events.length;
        while (index > 0 && (events[index - 1] as { atMs: number }).atMs < atMs) {
            index -= 1;
        }
        events.splice(index, 0, { atMs, run });
    };
    const count = ({ kind, isImpatient, firstMs }: Client, change: (outcome: Outcome) => void) => {
        if (firstMs >= replay.countFromMs) {
            change(byPriority.get(kind.priority) as Outcome);
            change(isImpatient ? impatient : patient);
        }
    };
    const drawWorkMs = ({ workMs }: ReplayedKind) => {
        const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
        const ratio = Math.exp(workSpread * normal - workSpread * workSpread / 2) * (random() < longChance ? longRatio : 1);
        return workMs * ratio * replay.slowness;
    };
    const handle = (verdicts: readonly AdmissionVerdict[], nowMs: number) => {
        for (const verdict of verdicts) {
            const client = clients.get(verdict.ticket) as Client;
            if (verdict.kind === "granted") {
                const tookMs = drawWorkMs(client.kind);
                usedMs += Math.max(0, Math.min(endMs, nowMs + tookMs) - Math.max(nowMs, replay.countFromMs));
                schedule(nowMs + tookMs, (atMs) => {
                    const totalMs = atMs - client.firstMs;
                    count(client, (outcome) => {
                        outcome.served += totalMs <= client.kind.deadlineMs ? 1 : 0;
                        outcome.inTime += totalMs <= client.kind.latencyMs ? 1 : 0;
                    });
                    handle(queue.finish(verdict.ticket, { kind: "answered", tookMs }, atMs), atMs);
                });
                continue;
            }
            count(client, (outcome) => {
                outcome.refusals += 1;
            });
            waitEstimator.recordRefusal(String(client.kind.priority), nowMs);
            const againMs = nowMs + (client.isImpatient ? roundTripMs : Math.max(roundTripMs, verdict.retryAfterMs));
            if (client.retriesLeft > 0 && againMs < client.firstMs + client.kind.deadlineMs) {
                schedule(againMs, (atMs) => {
                    offer({ ...client, retriesLeft: client.retriesLeft - 1 }, atMs);
                });
            }
        }
    };
    let ticketCount = 0;
    const offer = (client: Client, nowMs: number) => {
        const { kind, firstMs, caller } = client;
        const ticket = String(ticketCount++) as Ticket;
        clients.set(ticket, client);
        const deadlineMs = firstMs + kind.deadlineMs;
        const waitedMs = waitEstimator.estimateWaitMs(String(kind.priority), deadlineMs - nowMs, nowMs);
        handle(queue.offer(request(ticket, {
            priority: kind.priority, workMs: kind.workMs, caller,
            arrivedMs: nowMs, softDeadlineMs: nowMs + kind.latencyMs - waitedMs, deadlineMs,
        }), nowMs), nowMs);
        maxReserved = Math.max(maxReserved, queue.describeSharing(nowMs)?.reservedSlots ?? 0);
    };
    const scheduleArrival = (kind: ReplayedKind, fromMs: number) => {
        const gapMs = -Math.log(1 - random()) * 1_000 / Math.max(0.1, kind.perSecond(fromMs));
        schedule(fromMs + gapMs, (atMs) => {
            scheduleArrival(kind, atMs);
            const caller = Math.floor(random() * replay.callerCount);
            const isImpatient = caller < replay.callerCount * replay.impatientShare;
            const client = { kind, caller, isImpatient, firstMs: atMs, retriesLeft: isImpatient ? impatientRetries : patientRetries };
            count(client, (outcome) => {
                outcome.asked += 1;
            });
            offer(client, atMs);
        });
    };
    replay.kinds.forEach((kind) => {
        scheduleArrival(kind, 0);
    });
    for (let atMs = 0; atMs < endMs; atMs += 25) {
        schedule(atMs, () => {
            handle(queue.tick(atMs), atMs);
        });
    }
    for (let next = events.pop(); next !== undefined && next.atMs < endMs; next = events.pop()) {
        next.run(next.atMs);
    }
    return {
        byPriority, patient, impatient, maxReserved, reservedAtEnd: queue.describeSharing(endMs)?.reservedSlots ?? 0,
        usedShare: usedMs / replay.slots / (endMs - replay.countFromMs),
    };
}
