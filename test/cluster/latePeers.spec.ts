import { once } from "node:events";
import type net from "node:net";
import { Worker } from "node:worker_threads";
import { expect } from "chai";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import { listenForPeers } from "../../src/cluster/peerConnection.js";
import type { AcceptBacklog } from "../../src/entry/acceptBacklog.js";
import { createAcceptBacklogMonitor } from "../../src/entry/acceptBacklog.js";
import type { ClientHttp } from "../../src/entry/clientHttp.js";
import { freePort } from "../entry/listenerClient.js";
import { startSlowListener } from "../entry/slowListener.js";

/** A host closes a connection on which a call is pending and nothing is received for this long. */
const peerTimeoutMs = 600;

const peerCount = 100;

/** Sends requests on connections that stay open, then connects as many hosts would at once, and posts when all requests are answered. */
const program = `
    const net = require("node:net");
    const { workerData: { clientPort, peerPort, peerCount }, parentPort } = require("node:worker_threads");
    const request = "GET /a/ HTTP/1.1\\r\\nHost: one.example\\r\\nDeadline-Ms: 9000\\r\\nRequest-Id: r\\r\\n\\r\\n";
    let left = 120;
    for (let index = 0; index < 40; index += 1) {
        const socket = net.connect(clientPort, "127.0.0.1");
        socket.write(request);
        socket.on("data", () => {
            left -= 1;
            if (left === 0) { parentPort.postMessage("answered"); }
            if (left === 100) {
                for (let peer = 0; peer < peerCount; peer += 1) { net.connect(peerPort, "127.0.0.1"); }
            }
            socket.write(request);
        });
    }`;

describe("connections of many hosts at once", () => {
    const backlogs: AcceptBacklog[] = [];
    const clock = createSystemClock();
    let clients: ClientHttp;
    let peers: net.Server;
    let worker: Worker | undefined;

    after(async () => {
        await worker?.terminate();
        clients.close();
        peers.close();
    });

    // Guards against a new coordinator that accepts its followers after they have given it up.
    it("are accepted before these give up, although the host is late with requests of clients", async function () {
        this.timeout(20_000);
        let acceptedCount = 0;
        const backlog = createAcceptBacklogMonitor({ clock, atTurnEnd: setImmediate, onBacklog: (ended) => backlogs.push({ ...ended }) });
        const started = await startSlowListener({ doPeersWait: backlog.mayExist });
        ({ clients } = started);
        const peerPort = await freePort();
        peers = (await listenForPeers(`127.0.0.1:${String(peerPort)}`, {}, clock, 0, () => {
            acceptedCount += 1;
            backlog.onAccepted();
        }))._unsafeUnwrap();
        worker = new Worker(program, { eval: true, workerData: { clientPort: started.port, peerPort, peerCount } });
        await once(worker, "message");
        expect(acceptedCount).to.equal(peerCount);
        expect(Math.max(...backlogs.map(({ maxWaitMs }) => maxWaitMs))).to.be.below(peerTimeoutMs);
    });
});
