import { once } from "node:events";
import { Worker } from "node:worker_threads";
import { expect } from "chai";
import type { AcceptSeries } from "../../src/entry/acceptWatch.js";
import type { ClientHttp } from "../../src/entry/clientHttp.js";
import { startSlowListener } from "./slowListener.js";

/** Clients give up a connection that is not established, or whose request is not read, after this time. */
const clientPatienceMs = 1_000;

/** Serving the requests of all takes longer than clients wait. */
const burstConnections = 120;

/** Opens the connections at once, each with a request, and posts the number of answers with status 200. */
const clientProgram = `
    const net = require("node:net");
    const { workerData: { port, count }, parentPort } = require("node:worker_threads");
    let ended = 0;
    let answered = 0;
    for (let index = 0; index < count; index += 1) {
        const socket = net.connect(port, "127.0.0.1");
        let text = "";
        socket.on("data", (bytes) => { text += bytes; });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            answered += text.startsWith("HTTP/1.1 200") ? 1 : 0;
            ended += 1;
            if (ended === count) { parentPort.postMessage(answered); }
        });
        socket.write("GET /a/ HTTP/1.1\\r\\nHost: one.example\\r\\nConnection: close\\r\\nDeadline-Ms: 9000\\r\\nRequest-Id: r-" + index + "\\r\\n\\r\\n");
    }`;

describe("connections of a burst", () => {
    const series: AcceptSeries[] = [];
    let clients: ClientHttp;
    let port: number;

    before(async () => {
        ({ clients, port } = await startSlowListener({ onAcceptSeries: (ended) => series.push({ ...ended }) }));
    });

    after(() => {
        clients.close();
    });

    // Guards against a host that is late with its work and leaves new connections waiting until their clients have given up.
    it("are accepted before their clients give up, although serving all of them takes longer", async function () {
        this.timeout(20_000);
        const worker = new Worker(clientProgram, { eval: true, workerData: { port, count: burstConnections } });
        const [answered] = await once(worker, "message") as [number];
        expect(clients.connectionCounts().accepted).to.equal(burstConnections);
        expect(answered).to.equal(burstConnections);
        expect(Math.max(...series.map(({ lastedMs }) => lastedMs))).to.be.below(clientPatienceMs);
    });
});
