/** Commands of the stateful fuzzing: each changes the world, and the model says what is still expected of it. */
import fc from "fast-check";
import type { TargetId } from "../../src/model/ids.js";
import type { GuardsOut } from "../../src/model/guards.js";
import { Callers } from "./scenario.js";
import { usualWorld, World } from "./world.js";

const serverIds = [1, 2, 3, 4, 5].map((index) => `status-${String(index)}` as TargetId);
const maxDownServers = 2;
const settleMs = 8_000;
const snapshotEveryMs = 3_000;
const servedWithinMs = 3_000;

/** What the oracle expects: which processes run, so that commands make sense. */
export interface FuzzModel {
    downServers: Set<TargetId>;
    pausedServers: Set<TargetId>;
    downHosts: Set<number>;
    pausedHosts: Set<number>;
    commands: number;
}

/** The system under test. */
export interface FuzzReal {
    world: World;
    callers: Callers;
}

type Command = fc.AsyncCommand<FuzzModel, FuzzReal>;

class WorldCommand implements Command {
    constructor(
        private readonly name: string,
        private readonly mayRun: (model: Readonly<FuzzModel>) => boolean,
        private readonly act: (model: FuzzModel, real: FuzzReal) => void,
        private readonly thenMs: number,
    ) {}

    check(model: Readonly<FuzzModel>): boolean {
        return this.mayRun(model);
    }

    async run(model: FuzzModel, real: FuzzReal): Promise<void> {
        model.commands += 1;
        this.act(model, real);
        await real.world.advance(this.thenMs);
        const violation = [...real.callers.violations, ...real.world.violations][0];
        if (violation !== undefined) {
            throw new Error(violation);
        }
    }

    toString(): string {
        return `${this.name} then ${String(this.thenMs)} ms`;
    }
}

const always = () => true;
const server = fc.constantFrom(...serverIds);
const hostIndex = fc.integer({ min: 0, max: 2 });
const pauseMs = fc.oneof(
    { weight: 3, arbitrary: fc.integer({ min: 0, max: 60 }) },
    { weight: 1, arbitrary: fc.integer({ min: 61, max: 900 }) },
);
const key = fc.integer({ min: 1, max: 6 }).map((number) => `battery-${String(number)}`);

function serversDown(model: Readonly<FuzzModel>): number {
    return model.downServers.size + model.pausedServers.size;
}

const order = fc.tuple(key, fc.integer({ min: 0, max: 3 }), pauseMs).map(([name, copies, thenMs]) =>
    new WorldCommand(`order ${name} and ${String(copies)} copies`, always, (_model, { callers }) => {
        void callers.giveOrder(name, copies);
    }, thenMs));

const killServer = fc.tuple(server, pauseMs).map(([id, thenMs]) =>
    new WorldCommand(`kill ${id}`, (model) => !model.downServers.has(id) && serversDown(model) < maxDownServers, (model, { world }) => {
        model.downServers.add(id);
        model.pausedServers.delete(id);
        world.killServer(id);
    }, thenMs));

const restartServer = fc.tuple(server, pauseMs).map(([id, thenMs]) =>
    new WorldCommand(`restart ${id}`, always, (model, { world }) => {
        model.downServers.delete(id);
        model.pausedServers.delete(id);
        world.restartServer(id);
    }, thenMs));

const pauseServer = fc.tuple(server, pauseMs).map(([id, thenMs]) =>
    new WorldCommand(`pause ${id}`,
        (model) => !model.pausedServers.has(id) && !model.downServers.has(id) && serversDown(model) < maxDownServers,
        (model, { world }) => {
            model.pausedServers.add(id);
            world.serverOf(id).process.pause();
        }, thenMs));

const resumeServer = fc.tuple(server, pauseMs).map(([id, thenMs]) =>
    new WorldCommand(`resume ${id}`, (model) => model.pausedServers.has(id), (model, { world }) => {
        model.pausedServers.delete(id);
        world.serverOf(id).process.resume();
    }, thenMs));

const drainServer = fc.tuple(server, fc.boolean(), pauseMs).map(([id, draining, thenMs]) =>
    new WorldCommand(`${draining ? "drain" : "undrain"} ${id}`, always, (_model, { world }) => {
        world.serverOf(id).server.fault.draining = draining;
    }, thenMs));

const moveShard = fc.tuple(key, server, pauseMs).map(([name, target, thenMs]) =>
    new WorldCommand(`move ${name} to ${target}`, always, (_model, { world }) => {
        const document = world.document();
        document.moves = [{
            institution: "hladvarmi", pool: "status", shard: world.shardOfKey(name), target, reason: "a move of the fuzzing", author: "fuzz",
        }];
        world.publish(document, world.configOffset);
    }, thenMs));

const hostCommand = (
    name: string,
    mayRun: (model: Readonly<FuzzModel>, index: number) => boolean,
    act: (model: FuzzModel, world: World, index: number) => void,
) => fc.tuple(hostIndex, pauseMs).map(([index, thenMs]) =>
    new WorldCommand(`${name} host-${String(index + 1)}`, (model) => mayRun(model, index), (model, { world }) => {
        act(model, world, index);
    }, thenMs));

const hostDown = (model: Readonly<FuzzModel>, index: number) => model.downHosts.has(index) || model.pausedHosts.has(index);
const othersUp = (model: Readonly<FuzzModel>, index: number) =>
    !hostDown(model, index) && model.downHosts.size + model.pausedHosts.size < 2;
const hostOf = (world: World, index: number) => world.hosts[index] as World["hosts"][number];

const killHost = hostCommand("kill", othersUp, (model, world, index) => {
    model.downHosts.add(index);
    world.killHost(hostOf(world, index));
});
const restartHost = hostCommand("restart", always, (model, world, index) => {
    model.downHosts.delete(index);
    model.pausedHosts.delete(index);
    world.restartHost(hostOf(world, index));
});
const pauseHost = hostCommand("pause", othersUp, (model, world, index) => {
    model.pausedHosts.add(index);
    hostOf(world, index).process.pause();
});
const resumeHost = hostCommand("resume", (model, index) => model.pausedHosts.has(index), (model, world, index) => {
    model.pausedHosts.delete(index);
    hostOf(world, index).process.resume();
});
const leaveHost = hostCommand("leave", othersUp, (_model, world, index) => {
    void hostOf(world, index).coordinator.leave();
});

const cutPeer = fc.constantFrom<string>(...serverIds, "host-1", "host-2", "host-3", "log");
const cutLink = fc.tuple(hostIndex, cutPeer, fc.constantFrom("both", "out", "in"), pauseMs)
    .map(([index, other, way, thenMs]) =>
        new WorldCommand(`cut host-${String(index + 1)} ${way} ${other}`, always, (_model, { world }) => {
            const host = `host-${String(index + 1)}`;
            if (way !== "in") {
                world.network.cut(host, other);
            }
            if (way !== "out") {
                world.network.cut(other, host);
            }
        }, thenMs));

const healLinks = pauseMs.map((thenMs) => new WorldCommand("heal every link", always, (_model, { world }) => {
    world.network.heal();
}, thenMs));

const silence = fc.tuple(hostIndex, server, pauseMs).map(([index, id, thenMs]) =>
    new WorldCommand(`silence host-${String(index + 1)} to ${id}`, always, (_model, { world }) => {
        world.network.silent.add(`host-${String(index + 1)}>${id}`);
    }, thenMs));

const weather = fc.tuple(fc.constantFrom(0, 0.02, 0.2), fc.constantFrom(20, 200, 1_500), pauseMs).map(([chance, longestDelayMs, thenMs]) =>
    new WorldCommand(`weather ${String(chance)} up to ${String(longestDelayMs)} ms`, always, (_model, { world }) => {
        world.network.weather = { late: chance, longestDelayMs, copied: chance };
    }, thenMs));

const logState = fc.tuple(fc.constantFrom("down", "up", "slow", "lose answers", "retention"), pauseMs).map(([state, thenMs]) =>
    new WorldCommand(`log ${state}`, always, (_model, { world }) => {
        const { log } = world;
        const change: Record<typeof state, () => void> = {
            "down": () => Object.assign(log, { down: true }),
            "up": () => Object.assign(log, { down: false, slowMs: 0 }),
            "slow": () => Object.assign(log, { slowMs: 400 }),
            "lose answers": () => Object.assign(log, { loseAnswers: 2 }),
            "retention": () => {
                world.passRetentionBehindSnapshot();
            },
        };
        change[state]();
    }, thenMs));

/** Every command, orders most often. */
export const commandArbitraries: fc.Arbitrary<Command>[] = [
    order, order, order, order, killServer, restartServer, pauseServer, resumeServer, drainServer, moveShard,
    killHost, restartHost, pauseHost, resumeHost, leaveHost, cutLink, healLinks, silence, weather, logState,
];

export interface FuzzOptions {
    seed: number;
    runs: number;
    maxCommands: number;
    guardsOut?: GuardsOut;
    fenceChecked?: boolean;
    /** Shrinks a failing run. */
    shrink?: boolean;
    path?: string;
}

export interface FuzzReport {
    failed: boolean;
    commands: number;
    orders: number;
    done: number;
    notRun: number;
    unknown: number;
    text: string;
}

/** Fuzzes the world. */
export async function fuzzWorld(options: FuzzOptions): Promise<FuzzReport> {
    const report: FuzzReport = { failed: false, commands: 0, orders: 0, done: 0, notRun: 0, unknown: 0, text: "" };
    const property = fc.asyncProperty(
        fc.commands(commandArbitraries, { maxCommands: options.maxCommands, size: "max" }),
        fc.integer({ min: 1, max: 1_000_000 }),
        async (commands, worldSeed) => {
            const world = new World({
                ...usualWorld, snapshotEveryMs, seed: worldSeed, guardsOut: options.guardsOut ?? {},
                fenceChecked: options.fenceChecked ?? worldSeed % 2 === 0,
            });
            await world.start();
            const callers = new Callers(world);
            const model: FuzzModel = {
                downServers: new Set(), pausedServers: new Set(), downHosts: new Set(), pausedHosts: new Set(), commands: 0,
            };
            await fc.asyncModelRun(() => ({ model, real: { world, callers } }), commands);
            await settle(world, callers);
            count(report, model, callers);
        },
    );
    const result = await fc.check(property, {
        seed: options.seed, numRuns: options.runs, path: options.path, endOnFailure: options.shrink !== true,
    });
    report.failed = result.failed;
    report.text = result.failed ? `${String(result.errorInstance)}\n${fc.defaultReportMessage(result) ?? ""}` : "";
    return report;
}

/** Heals everything, and expects every key to be served and every order to be judged rightly. */
async function settle(world: World, callers: Callers): Promise<void> {
    world.network.heal();
    world.network.weather = { late: 0, longestDelayMs: 0, copied: 0 };
    Object.assign(world.log, { down: false, slowMs: 0, loseAnswers: 0 });
    for (const host of [...world.hosts]) {
        host.process.resume();
        world.restartHost(host);
    }
    for (const [id, state] of [...world.servers]) {
        state.process.resume();
        state.server.fault.draining = false;
        if (state.process.dead) {
            world.restartServer(id);
        }
    }
    await world.advance(settleMs);
    for (const number of [1, 2, 3, 4, 5, 6]) {
        const answer = world.read(world.hosts[0] as World["hosts"][number], `battery-${String(number)}`, servedWithinMs);
        await world.advance(servedWithinMs);
        const outcome = await answer;
        if (outcome.outcome !== "done") {
            throw new Error(`battery-${String(number)} is not served though everything is well again: ${JSON.stringify(outcome)}`);
        }
    }
    const violations = callers.judgeAtEnd();
    if (violations.length > 0) {
        throw new Error(violations[0]);
    }
}

function count(report: FuzzReport, model: FuzzModel, callers: Callers): void {
    const told = callers.orders.flatMap((order_) => order_.told);
    report.commands += model.commands;
    report.orders += callers.orders.length;
    report.done += told.filter((outcome) => outcome.outcome === "done").length;
    report.notRun += told.filter((outcome) => outcome.outcome === "not-run").length;
    report.unknown += told.filter((outcome) => outcome.outcome === "unknown").length;
}
