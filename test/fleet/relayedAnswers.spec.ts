import { readFileSync } from "node:fs";
import type net from "node:net";
import { expect } from "chai";
import { topics } from "../../platform/names.js";
import type { ClientAnswer, FleetHost } from "./fleet.js";
import { buildRoutingConfig, fetchAdminPage, Fleet, plainService, send, sleep } from "./fleet.js";
import type { ReceivedRequest, ScriptedTarget } from "./scriptedTarget.js";
import { signedAnswer, startScriptedTarget } from "./scriptedTarget.js";
import { cutFromTargets } from "./targetCut.js";

const writePath = "/write/";
const longPath = `${writePath}long`;
const slowPath = `${writePath}slow`;
const oddPath = `${writePath}odd`;
const budgetMs = 6_000;
const pieceBytes = 500;
const pieceCount = 20;
const answerBytes = pieceBytes * pieceCount;
const slowWorkMs = 3_000;
const trafficPauseMs = 5;

/** How an answer through another host is played. */
interface Case {
    /** What happens to the relaying host once a part of the answer is on its way. */
    signal: NodeJS.Signals | undefined;
    hasLength: boolean;
    piecePauseMs: number;
}

/** Answers in pieces; without a length, the end of the connection follows. */
async function writePieces(socket: net.Socket, { requestId }: ReceivedRequest, { hasLength, piecePauseMs }: Case): Promise<void> {
    const framing = hasLength ? `Content-Length: ${String(answerBytes)}` : "Connection: close";
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: signed-${requestId}\r\n${framing}\r\n\r\n`);
    for (let count = 0; count < pieceCount && !socket.destroyed; count++) {
        socket.write(Buffer.alloc(pieceBytes, "a"));
        await sleep(piecePauseMs);
    }
    if (!hasLength) {
        socket.end();
    }
}

function buildConfig(): object {
    const config = buildRoutingConfig(1) as { routes: { rows: unknown[][] } };
    config.routes.rows.push(["r-write", "fleet.example", writePath, "unsafe", budgetMs, 500, 1, plainService, 1, undefined]);
    return config;
}

async function isRelaying(helper: FleetHost): Promise<boolean> {
    return /^hornbeam_relayed_connections [1-9]/m.test(await fetchAdminPage(helper, "/metrics"));
}

async function isCutOff(host: FleetHost): Promise<boolean> {
    const { reachability } = JSON.parse(await fetchAdminPage(host, "/dump")) as { reachability: { severedTargets: unknown[] } };
    return reachability.severedTargets.length > 0;
}

describe("an answer that passes through another host", function () {
    this.timeout(60_000);
    let fleet: Fleet;
    let target: ScriptedTarget;
    let host: FleetHost;
    let played: Case;
    let helperCount = 0;

    before(async () => {
        fleet = await Fleet.start(0, 1, 0, false);
        fleet.store.put(topics.configuration, "config", buildConfig());
        target = await startScriptedTarget(fleet.store, "scripted", plainService);
        target.react = (socket, request) => {
            if (request.path === longPath) {
                void writePieces(socket, request, played);
                return;
            }
            const answer = signedAnswer(request.requestId, "ok");
            const [, oddStatus] = request.path.split(`${oddPath}/`);
            setTimeout(() => socket.write(answer.replace("200", oddStatus ?? "200")), request.path === slowPath ? slowWorkMs : 0);
        };
        host = await fleet.startHost("cut", undefined, { isCuttable: true });
        await waitUntilServed(host);
    });

    after(async () => {
        target.stop();
        await fleet.stop();
    });

    const post = (at: FleetHost, path: string, id: string): Promise<ClientAnswer> =>
        send(at, { id: `${id}-${String(performance.now())}`, path, method: "POST", budgetMs });

    const waitUntilServed = (at: FleetHost) =>
        fleet.waitUntil(`${at.name} serves`, async () => (await post(at, `${writePath}x`, "first")).status === 200);

    /** Cuts the host off, has its answer pass through a new helper, and ends the helper in the middle of it. */
    const play = async (newCase: Case): Promise<ClientAnswer> => {
        played = newCase;
        helperCount += 1;
        const helper = await fleet.startHost(`helper-${String(helperCount)}`);
        await waitUntilServed(helper);
        let isOver = false;
        const traffic = (async () => {
            while (!isOver) {
                await post(helper, `${writePath}x`, "traffic");
                await sleep(trafficPauseMs);
            }
        })();
        cutFromTargets(host, [target.address], "reset");
        // A request without a connection has the host find out whether it is cut off.
        void post(host, slowPath, "slow");
        await fleet.waitUntil("the host knows that it is cut off", () => isCutOff(host));
        const answer = post(host, longPath, "long");
        const isBegun = () => target.received.filter(({ path }) => path === longPath).length === helperCount;
        await fleet.waitUntil("the answer has begun", () => Promise.resolve(isBegun()));
        await sleep(8 * played.piecePauseMs);
        expect(await isRelaying(helper)).to.equal(true);
        const ended = played.signal === undefined ? undefined : fleet.endHost(helper, played.signal);
        const outcome = await answer;
        isOver = true;
        await Promise.all([ended, traffic]);
        if (ended === undefined) {
            await fleet.endHost(helper, "SIGKILL");
        }
        cutFromTargets(host, [target.address], undefined);
        await fleet.waitUntil("the host is not cut off any more", async () => !await isCutOff(host));
        return outcome;
    };

    // Guards against an answer of a target in trouble whose status is none of HTTP, on its way through another host.
    it("is no success if its status is 000, 001, 099, 600 or 999", async () => {
        const helper = await fleet.startHost("helper-odd");
        await waitUntilServed(helper);
        cutFromTargets(host, [target.address], "reset");
        void post(host, slowPath, "slow");
        const traffic = post(helper, slowPath, "traffic");
        await fleet.waitUntil("the host knows that it is cut off", () => isCutOff(host));
        for (const status of ["000", "001", "099", "600", "999"]) {
            expect((await post(host, `${oddPath}/${status}`, "odd")).status, status).to.equal(502);
        }
        expect(await isRelaying(helper) || /"connection relayed"/.test(readFileSync(helper.logFile, "utf8"))).to.equal(true);
        await traffic;
        cutFromTargets(host, [target.address], undefined);
        await fleet.endHost(helper, "SIGKILL");
        await fleet.waitUntil("the host is not cut off any more", async () => !await isCutOff(host));
    });

    for (const hasLength of [false, true]) {
        const framing = hasLength ? "with a length" : "without a length";

        // Guards against a part of an answer that passes for the whole when the relaying host is killed (review/7).
        it(`${framing} is no success if the relaying host is killed in the middle of it`, async () => {
            const { status } = await play({ signal: "SIGKILL", hasLength, piecePauseMs: 50 });
            expect(status).to.equal(502);
        });

        // Guards against answers that are cut off by the stop of the host that relays them, with seconds of its grace period left.
        it(`${framing} is whole if the relaying host stops in the middle of it`, async () => {
            const { status, body } = await play({ signal: "SIGTERM", hasLength, piecePauseMs: 270 });
            expect({ status, bytes: body.length }).to.deep.equal({ status: 200, bytes: answerBytes });
        });

        it(`${framing} is whole if nothing happens to the relaying host`, async () => {
            const { status, body } = await play({ signal: undefined, hasLength, piecePauseMs: 50 });
            expect({ status, bytes: body.length }).to.deep.equal({ status: 200, bytes: answerBytes });
        });
    }
});
