import { once } from "node:events";
import { Worker } from "node:worker_threads";
import { expect } from "chai";
import type { AcceptBacklog } from "../../src/entry/acceptBacklog.js";
import type { ClientHttp } from "../../src/entry/clientHttp.js";
import type { ReachedLimit } from "../../src/entry/holdingEnforcement.js";
import { startSlowListener } from "./slowListener.js";

/** Clients give up a connection that is not established, or whose request is not read, after this time. */
const clientTimeoutMs = 1_000;

/** Serving the requests of all takes longer than clients wait. */
const burstConnections = 120;

/** Outcomes of the requests of a burst. */
interface BurstOutcome {
    served: number;
    /** Refused with 503 and a time to return. */
    refused: number;
}

/** Opens the connections at once, each with a request, and posts a `BurstOutcome`. */
const clientProgram = `
    const net = require("node:net");
    const { workerData: { port, count, budgetMs }, parentPort } = require("node:worker_threads");
    let ended = 0;
    const outcome = { served: 0, refused: 0 };
    for (let index = 0; index < count; index += 1) {
        const socket = net.connect(port, "127.0.0.1");
        let text = "";
        socket.on("data", (bytes) => { text += bytes; });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            outcome.served += text.startsWith("HTTP/1.1 200") ? 1 : 0;
            outcome.refused += text.startsWith("HTTP/1.1 503") && text.includes("Retry-After: ") ? 1 : 0;
            ended += 1;
            if (ended === count) { parentPort.postMessage(outcome); }
        });
        socket.write("GET /a/ HTTP/1.1\\r\\nHost: one.example\\r\\nConnection: close\\r\\nDeadline-Ms: " + budgetMs + "\\r\\nRequest-Id: r-" + index + "\\r\\n\\r\\n");
    }`;

describe("connections of a burst", () => {
    const backlogs: AcceptBacklog[] = [];
    const lateLimits: ReachedLimit[] = [];
    let clients: ClientHttp;
    let port: number;

    const playBurst = async (budgetMs: number): Promise<BurstOutcome> => {
        const worker = new Worker(clientProgram, { eval: true, workerData: { port, count: burstConnections, budgetMs } });
        const [outcome] = await once(worker, "message") as [BurstOutcome];
        return outcome;
    };

    before(async () => {
        ({ clients, port } = await startSlowListener({
            onAcceptBacklog: (ended) => backlogs.push({ ...ended }),
            onLimit: (reached) => lateLimits.push(reached),
        }));
    });

    after(() => {
        clients.close();
    });

    // Guards against a host that is late with its work and leaves new connections waiting until their clients have given up.
    it("are accepted before their clients give up, although serving all of them takes longer", async function () {
        this.timeout(20_000);
        expect(await playBurst(30_000)).to.deep.equal({ served: burstConnections, refused: 0 });
        expect(clients.connectionCounts().accepted).to.equal(burstConnections);
        expect(Math.max(...backlogs.map(({ maxWaitMs }) => maxWaitMs))).to.be.below(clientTimeoutMs);
    });

    // Guards against requests kept until their deadline by a host that can't begin them in time.
    it("have their requests refused with a time to return, and not run, if a third of the time passes before they begin", async function () {
        this.timeout(20_000);
        lateLimits.length = 0;
        const { served, refused } = await playBurst(900);
        expect(served + refused).to.equal(burstConnections);
        expect(refused).to.be.above(0);
        expect(lateLimits.map(({ limit, request }) => [limit, typeof request])).to.deep.equal(Array(refused).fill(["late", "string"]));
    });
});
