/** Each guard of orders and answers: a scenario that goes wrong without it, and right with it. */
import { expect } from "chai";
import type { TargetId } from "../../src/model/ids.js";
import type { GuardsOut } from "../../src/model/guards.js";
import type { CoordinatorAnswer, KeyedWork } from "../../src/model/work.js";
import { Callers } from "../support/scenario.js";
import { usualWorld, World } from "../support/world.js";

const key = "battery-1";

async function startWorld(guardsOut: GuardsOut, changes: Partial<typeof usualWorld> = {}): Promise<World> {
    const world = new World({ ...usualWorld, ...changes, guardsOut });
    await world.start();
    return world;
}

type Host = World["hosts"][number];

function actingOf(world: World): Host {
    return world.acting() as Host;
}

function othersOf(world: World, ...hosts: Host[]): Host[] {
    return world.hosts.filter((host) => !hosts.includes(host));
}

function ownerOf(world: World): TargetId {
    return world.ownersOf(world.shardOfKey(key))[0] as TargetId;
}

/** Runs an order to its end and gives its id. */
async function runOrder(world: World, host: Host): Promise<string> {
    const orderId = world.newOrderId();
    void world.order(host, key, orderId);
    await world.advance(100);
    expect(world.runsOf(orderId)).to.equal(1);
    return orderId;
}

/** The order ran, its coordinator is lost, and its caller asks again. */
async function askAgainAfterLoss(guardsOut: GuardsOut): Promise<string[]> {
    const world = await startWorld(guardsOut);
    const callers = new Callers(world);
    const acting = actingOf(world);
    const orderId = await runOrder(world, acting);
    callers.orders.push({ orderId, key, told: [] });
    world.killHost(acting);
    await world.advance(1_500);
    void world.order(othersOf(world, acting)[0] as Host, key, orderId);
    await world.advance(1_000);
    return callers.judgeAtEnd();
}

/** A paused coordinator comes back within its authority, after a successor has run the order. */
async function askFormerCoordinator(guardsOut: GuardsOut): Promise<string[]> {
    const world = await startWorld(guardsOut);
    const callers = new Callers(world);
    const former = actingOf(world);
    former.process.pause();
    await world.advance(460);
    const successor = actingOf(world);
    expect(successor).to.not.equal(former);
    const orderId = world.newOrderId();
    callers.orders.push({ orderId, key, told: [] });
    const owner = ownerOf(world);
    const runs = world.serverOf(owner).server.record.runsByOrderId;
    runs[orderId] = 1;
    former.process.resume();
    const work: KeyedWork = {
        requestId: "r", kind: "order", institution: "hladvarmi" as never, pool: "status" as never, key,
        shard: world.shardOfKey(key), orderId, budgetMs: 0, priority: 1, body: "",
    };
    let answer: CoordinatorAnswer | undefined;
    void former.coordinator.work(work).then((told) => {
        answer = told;
    });
    await world.advance(1_000);
    if (answer !== undefined && answer.outcome !== "redirect") {
        callers.orders[0]?.told.push(answer);
    }
    return callers.judgeAtEnd();
}

/** The order began, its server restarts before it answers, and the cancellation meets the new run. */
async function cancelAtAnotherRun(guardsOut: GuardsOut): Promise<string[]> {
    const world = await startWorld(guardsOut);
    const callers = new Callers(world);
    const owner = ownerOf(world);
    world.serverOf(owner).server.fault.slowMs = 400;
    void callers.giveOrder(key, 0);
    await world.advance(50);
    world.restartServer(owner);
    await world.advance(3_000);
    return callers.judgeAtEnd();
}

/** A server's answer arrives for another request. */
async function crossAnswers(guardsOut: GuardsOut): Promise<string[]> {
    const world = await startWorld(guardsOut);
    const callers = new Callers(world);
    void callers.giveOrder(key, 0);
    await world.advance(50);
    world.crossAnswers = 1;
    void callers.giveOrder(key, 0);
    await world.advance(3_000);
    return callers.judgeAtEnd();
}

/** A hand-over arrives late, after another coordinator has acted and run the order. */
async function handOverLate(guardsOut: GuardsOut): Promise<string[]> {
    const world = await startWorld(guardsOut);
    const callers = new Callers(world);
    const leaving = actingOf(world);
    const ranks = leaving.coordinator.follower.state.terms["hladvarmi/status/cell-1" as never]?.term.coordinators ?? [];
    const [between, last] = [1, 2].map((rank) => world.hosts.find((host) => ranks[rank]?.startsWith(`${host.host}@`))) as [Host, Host];
    between.process.pause();
    await world.advance(400);
    void leaving.coordinator.leave();
    last.process.pause();
    await world.advance(50);
    between.process.resume();
    await world.advance(900);
    const orderId = await runOrder(world, between);
    callers.orders.push({ orderId, key, told: [] });
    world.killHost(between);
    world.log.down = true;
    last.process.resume();
    await world.advance(1_500);
    void world.order(last, key, orderId);
    await world.advance(2_000);
    return callers.judgeAtEnd();
}

/** An order waits for a slot while its shard moves; its server does not check who orders. */
async function moveWhileWaiting(guardsOut: GuardsOut): Promise<string[]> {
    const world = await startWorld(guardsOut, { fenceChecked: false });
    const owner = ownerOf(world);
    world.serverOf(owner).server.fault.slowMs = 150;
    const sameShard = Array.from({ length: 40 }, (_, number) => `battery-${String(number)}`)
        .filter((other) => world.shardOfKey(other) === world.shardOfKey(key));
    const host = actingOf(world);
    // Reads fill the slots and hold no move back.
    for (const other of sameShard) {
        void world.read(host, other);
    }
    await world.advance(5);
    const document = world.document();
    const target = [...world.servers.keys()].find((server) => server !== owner) as string;
    document.moves = [{ institution: "hladvarmi", pool: "status", shard: world.shardOfKey(key), target, reason: "a move for a test", author: "t" }];
    void world.order(host, key, world.newOrderId());
    world.publish(document, world.configOffset);
    await world.advance(3_000);
    return [...world.servers].flatMap(([server, state]) =>
        state.server.record.runsWithoutOwnership > 0 ? [`an order ran on ${server}, which did not own its shard`] : []);
}

const scenarios: [keyof GuardsOut, (guardsOut: GuardsOut) => Promise<string[]>][] = [
    ["idHorizon", askAgainAfterLoss],
    ["currentProof", askFormerCoordinator],
    ["cancelIncarnation", cancelAtAnotherRun],
    ["answerMatch", crossAnswers],
    ["handOverCheck", handOverLate],
    ["authority", moveWhileWaiting],
];

describe("guards of orders and answers", function () {
    this.timeout(30_000);
    for (const [guard, scenario] of scenarios) {
        it(`${guard}: wrong without it`, async () => {
            expect(await scenario({ [guard]: true })).to.not.deep.equal([]);
        });
        it(`${guard}: right with it`, async () => {
            expect(await scenario({})).to.deep.equal([]);
        });
    }
});

describe("a cell that cannot be served", function () {
    this.timeout(30_000);

    it("has its requests refused at once, with a time to come back, after 1.5 s", async () => {
        const world = await startWorld({});
        world.log.down = true;
        const [entry, ...others] = world.hosts as [Host, Host, Host];
        for (const host of others) {
            world.killHost(host);
        }
        for (const server of [1, 2, 3].map((number) => `status-${String(number)}` as TargetId)) {
            world.killServer(server);
        }
        const deadlineMs = 10_000;
        const tookMs = async (): Promise<number> => {
            const startMs = world.clock.now().monoMs;
            let endMs = Number.POSITIVE_INFINITY;
            void world.read(entry, key, deadlineMs).then((outcome) => {
                expect(outcome.outcome).to.equal("not-run");
                expect(outcome).to.have.property("retryAfterMs").that.is.greaterThan(0);
                endMs = world.clock.now().monoMs;
            });
            await world.advance(4_000);
            return endMs - startMs;
        };
        expect(await tookMs()).to.be.at.most(3_500);
        expect(await tookMs()).to.be.at.most(2_000);
    });
});
