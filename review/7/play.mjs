/**
 * A host that can't open connections to a server has another host relay one. The server's answer has no length and ends with its
 * connection. The relaying host is killed while the answer is on its way. Does the client get the part that has arrived for the whole?
 */
import net from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { ask } from "../common-2/client.mjs";
import { callHttp, configurationOf, exitCodes, freePorts, hasTrouble, loopback, runCase, sleep, waitUntil } from "../common-2/fleet.mjs";

const serverId = "orders-1";
const pieceCount = 20;
const pieceBytes = 500;
const piecePauseMs = 50;
const cutMs = 2_000;
const killAfterPieces = 8;
const roundCount = 3;
const budgetMs = 6_000;

/** A server whose answers to orders have no length; the listener can be closed while the connections that are open live on. */
function createServer(port, record) {
    const runs = new Map();
    let listener;

    const answer = async (socket, head) => {
        const [, path] = head.split(" ");
        const requestId = /^request-id: (.*)$/im.exec(head)?.[1];
        if (path === "/health" || /^target-instance: (.*)$/im.exec(head)?.[1] !== serverId) {
            const status = path === "/health" ? "200 OK" : "421 Misdirected Request";
            socket.write(`HTTP/1.1 ${status}\r\nInstance-Id: ${serverId}\r\nContent-Length: 0\r\n\r\n`);
            return;
        }
        const signed = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: signed-${requestId}\r\n`;
        if (path.endsWith("/short")) {
            await sleep(20);
            socket.write(`${signed}Content-Length: 2\r\n\r\nok`);
            return;
        }
        if (path.endsWith("/wait")) {
            await sleep(cutMs + 1_000);
            socket.write(`${signed}Content-Length: 2\r\n\r\nok`);
            return;
        }
        const run = { sentPieces: 0 };
        runs.set(requestId, run);
        record(`server: begins ${requestId}, its answer has ${pieceCount * pieceBytes} bytes and no length`);
        socket.write(`${signed}Connection: close\r\n\r\n`);
        while (run.sentPieces < pieceCount && !socket.destroyed) {
            socket.write(Buffer.alloc(pieceBytes, "a"));
            run.sentPieces += 1;
            await sleep(piecePauseMs);
        }
        const end = socket.destroyed ? "the connection was closed by its other end" : "whole answer written";
        record(`server: ${requestId}: ${end} after ${run.sentPieces} pieces`);
        socket.end();
    };

    const onConnection = (socket) => {
        let input = "";
        socket.on("error", () => undefined);
        socket.on("data", (bytes) => {
            input += bytes.toString("latin1");
            for (let end = input.indexOf("\r\n\r\n"); end >= 0; end = input.indexOf("\r\n\r\n")) {
                const head = input.slice(0, end).trimStart();
                input = input.slice(end + 4);
                if (head !== "") {
                    void answer(socket, head);
                }
            }
        });
    };

    return {
        runs,
        open: () => new Promise((resolve) => {
            listener = net.createServer({ noDelay: true }, onConnection);
            listener.listen(port, loopback, resolve);
        }),
        /** New connections are refused from now on. */
        refuseNew: () => {
            listener.close();
        },
    };
}

/** Tells whether a host believes that its path to the server is broken. */
async function isCutOff({ adminPort }) {
    const { body } = await callHttp({ port: adminPort, path: "/dump" });
    const { reachability } = JSON.parse(body);
    return reachability.severedTargets.length > 0 || reachability.cutOffMs !== undefined;
}

async function playRound({ deployment, server, host, round, record }) {
    const helper = await deployment.startHost(`helper-${round}`);
    await waitUntil("the helper serves", async () => (await ask(helper, { path: "/order/short", id: `h-${round}-${Math.random()}` }, 1_000))?.status === 200);
    let isBusy = true;
    // Requests through the helper, on connections to the server that it keeps.
    const traffic = Array.from({ length: 3 }, async (_, index) => {
        for (let count = 0; isBusy; count++) {
            await ask(helper, { path: "/order/short", id: `t-${round}-${index}-${count}` }, 1_000).catch(() => undefined);
        }
    });
    await sleep(1_000);
    const id = `order-${round}`;
    if (hasTrouble) {
        // An order that waits for its answer has the host find out whether it is cut off.
        void ask(host, { path: "/order/wait", id: `wait-${round}`, method: "POST", budgetMs }, budgetMs);
        await sleep(100);
        record("new connections to the server are refused, those that are open live on");
        server.refuseNew();
        await sleep(cutMs);
        record(`the host ${await isCutOff(host) ? "believes" : "does not believe"} that it is cut off; new connections are accepted again`);
        await server.open();
    }
    const asked = ask(host, { path: "/order/long", id, method: "POST", budgetMs }, budgetMs);
    await waitUntil("a part of the answer is on its way", () => (server.runs.get(id)?.sentPieces ?? 0) >= killAfterPieces, 5_000, 5);
    if (hasTrouble) {
        record("the helper is killed");
        helper.child.kill("SIGKILL");
    }
    const answer = await asked;
    isBusy = false;
    await Promise.all(traffic);
    const bytes = answer?.body.length ?? 0;
    const found = answer === undefined ? "no answer" : `${answer.status}, signature ${answer.signature}`;
    record(`client: ${id}: ${found}, ${bytes} of ${pieceCount * pieceBytes} bytes`);
    if (!hasTrouble) {
        helper.child.kill("SIGKILL");
    }
    await sleep(500);
    return answer?.status === 200 && bytes !== pieceCount * pieceBytes;
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
    const [port] = await freePorts(1);
    const server = createServer(port, record);
    await server.open();
    await deployment.startStore();
    await deployment.configure(configurationOf({
        routes: [{ name: "order", type: "unsafe", timeoutMs: budgetMs, latencyMs: 100, service: "orders" }], services: ["orders"],
    }));
    deployment.register({ id: serverId, service: "orders", port, slots: 12 });
    const host = await deployment.startHost("host-1");
    await waitUntil("orders are served", async () => (await ask(host, { path: "/order/short", id: `f-${Math.random()}` }, 1_000))?.status === 200);
    let brokenCount = 0;
    for (let round = 1; round <= roundCount; round++) {
        brokenCount += await playRound({ deployment, server, host, round, record }) ? 1 : 0;
    }
    record(`${brokenCount} of ${roundCount} clients got a success with the server's signature and a part of its body`);
    return brokenCount > 0 ? exitCodes.broken : exitCodes.held;
});
