/**
 * Random runs of the real `Cell` and `LeaseHolder` code: one cell, several contenders for its coordination, a network
 * that delays, copies and cuts messages, restarts of servers, pauses of coordinators. Looks for two owners at once.
 */
import type { CellId, Fence, Incarnation, Shard, TargetId } from "../../src/model/ids.js";
import type { GuardsOut } from "../../src/model/guards.js";
import { Cell } from "../../src/ownership/cell.js";
import { LeaseHolder } from "../../src/ownership/leaseHolder.js";
import type { HeartbeatReply, HeartbeatRequest } from "../../src/ownership/messages.js";
import { Random } from "./random.js";

const leaseMs = 50;
const stepCount = 900;
const serverCount = 5;
const contenderCount = 3;
const shards = [0, 1] as Shard[];
const servers = Array.from({ length: serverCount }, (_, index) => `s${String(index)}` as TargetId);

/** Chances of trouble in each step. */
interface Weather {
    late: number;
    cut: number;
    heal: number;
    restart: number;
    election: number;
    pause: number;
    move: number;
}

const weathers: readonly Weather[] = [
    { late: 0.07, cut: 0.02, heal: 0.03, restart: 0.004, election: 0.015, pause: 0.01, move: 0.01 },
    { late: 0.07, cut: 0.02, heal: 0.03, restart: 0.04, election: 0.015, pause: 0.02, move: 0.02 },
    { late: 0.3, cut: 0.05, heal: 0.02, restart: 0.004, election: 0.03, pause: 0.02, move: 0.05 },
    { late: 0.2, cut: 0.1, heal: 0.1, restart: 0.01, election: 0.06, pause: 0.03, move: 0.05 },
    { late: 0.02, cut: 0.08, heal: 0.02, restart: 0.001, election: 0.008, pause: 0.03, move: 0.1 },
];

interface Message {
    atMs: number;
    contender: Contender;
    cell: Cell;
    server: number;
    request: HeartbeatRequest;
    sentMs: number;
    reply?: HeartbeatReply;
}

interface Contender {
    index: number;
    cell?: Cell;
    pausedUntilMs: number;
}

interface ServerModel {
    holder: LeaseHolder;
    clockOffsetMs: number;
    runs: number;
}

export interface CellRunResult {
    violation?: string;
    grants: number;
    moves: number;
    elections: number;
}

/**
 * Makes one run.
 * @param seed fixes everything that happens
 * @param guardsOut guards left out
 */
export function runCellModel(seed: number, guardsOut: GuardsOut = {}): CellRunResult {
    const random = new Random(seed);
    const models = servers.map((): ServerModel => {
        const clockOffsetMs = random.upTo(1_000);
        return { clockOffsetMs, runs: 0, holder: new LeaseHolder("0" as Incarnation, clockOffsetMs - 1_000_000, guardsOut) };
    });
    const weather = random.pick(weathers);
    const contenders = Array.from({ length: contenderCount }, (_, index): Contender => ({ index, pausedUntilMs: 0 }));
    const cuts = new Set<string>();
    const result: CellRunResult = { grants: 0, moves: 0, elections: 0 };
    let messages: Message[] = [];
    let fence = 0;

    const owns = (model: ServerModel, shard: Shard, nowMs: number) => model.holder.owns(shard, nowMs + model.clockOffsetMs);
    const arrival = (nowMs: number) => nowMs + (random.chance(1 - weather.late) ? random.pick([1, 1, 1, 2, 3, 5]) : 10 + random.upTo(190));

    const restart = (model: ServerModel, nowMs: number) => {
        model.runs += 1;
        model.holder = new LeaseHolder(String(model.runs) as Incarnation, nowMs + model.clockOffsetMs, guardsOut);
    };

    const elect = (contender: Contender) => {
        fence += 1;
        result.elections += 1;
        contender.cell = new Cell({
            cell: "c" as CellId, fence: fence as Fence, servers, voterSets: [servers], shards, leaseMs, waitMs: leaseMs, driftMarginMs: 0,
        }, guardsOut);
    };

    const beat = (contender: Contender, cell: Cell, nowMs: number) => {
        for (let server = 0; server < serverCount; server += 1) {
            const request = cell.nextHeartbeat(servers[server] as TargetId, nowMs);
            if (cuts.has(`${String(contender.index)}>${String(server)}`)) {
                continue;
            }
            const message = { contender, cell, server, request, sentMs: nowMs };
            messages.push({ ...message, atMs: arrival(nowMs) });
            if (random.chance(0.04)) {
                messages.push({ ...message, atMs: nowMs + 5 + random.upTo(195) });
            }
        }
    };

    const deliver = (message: Message, nowMs: number) => {
        const { contender, server, request, cell } = message;
        const model = models[server] as ServerModel;
        if (message.reply === undefined) {
            const reply = model.holder.onHeartbeat(request, nowMs + model.clockOffsetMs);
            if (!cuts.has(`${String(contender.index)}>${String(server)}`) || random.chance(0.5)) {
                const delayMs = random.chance(0.95) ? random.pick([1, 1, 2, 4]) : 10 + random.upTo(140);
                messages.push({ ...message, reply, atMs: nowMs + delayMs });
            }
            return;
        }
        if (contender.pausedUntilMs > nowMs) {
            messages.push({ ...message, atMs: contender.pausedUntilMs + 1 });
        }
        else if (contender.cell === cell) {
            cell.onReply(servers[server] as TargetId, request, message.sentMs, message.reply, nowMs);
        }
    };

    const trouble = (nowMs: number) => {
        if (random.chance(weather.cut)) {
            cuts.add(`${String(random.upTo(contenderCount - 1))}>${String(random.upTo(serverCount - 1))}`);
        }
        if (cuts.size > 0 && random.chance(weather.heal)) {
            cuts.delete(random.pick([...cuts]));
        }
        if (random.chance(weather.restart)) {
            restart(random.pick(models), nowMs);
        }
        if (random.chance(weather.election)) {
            elect(random.pick(contenders));
        }
        if (random.chance(weather.pause)) {
            random.pick(contenders).pausedUntilMs = nowMs + 5 + random.upTo(145);
        }
    };

    const act = (contender: Contender, cell: Cell, nowMs: number) => {
        cell.tick(nowMs);
        if (random.chance(weather.move)) {
            const shard = random.pick(shards);
            if (cell.moves.request(shard, random.pick(servers), nowMs)) {
                cell.moves.startRelease(shard);
            }
        }
        if (nowMs % 8 === contender.index * 2) {
            beat(contender, cell, nowMs);
        }
        const events = cell.takeEvents().filter((event) => event.cause !== "kept");
        result.grants += events.length;
        result.moves += events.filter((event) => event.from !== undefined && event.from !== event.to).length;
    };

    for (let nowMs = 0; nowMs < stepCount; nowMs += 1) {
        trouble(nowMs);
        const due = messages.filter((message) => message.atMs <= nowMs);
        messages = messages.filter((message) => message.atMs > nowMs);
        due.map((message) => ({ message, at: random.unit() })).sort((left, right) => left.at - right.at).forEach(({ message }) => {
            deliver(message, nowMs);
        });
        for (const contender of contenders) {
            if (contender.cell !== undefined && contender.pausedUntilMs <= nowMs) {
                act(contender, contender.cell, nowMs);
            }
        }
        for (const shard of shards) {
            const owners = models.filter((model) => owns(model, shard, nowMs));
            if (owners.length > 1) {
                result.violation = `seed ${String(seed)}: ${String(owners.length)} owners of shard ${String(shard)} at step ${String(nowMs)}`;
                return result;
            }
        }
    }
    return result;
}
