/**
 * Clients send two safe requests at once on a connection, and the host passes both on. It gets SIGTERM while the servers are at work. Does
 * the second request get the answer that its server makes?
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { ask, openConnection } from "../common-2/client.mjs";
import { configurationOf, exitCodes, freePorts, hasTrouble, runCase, sleep, waitUntil } from "../common-2/fleet.mjs";
import { startServer } from "../common-2/server.mjs";

const connectionCount = 6;
const firstWorkMs = 500;
const secondWorkMs = 1_000;
const budgetMs = 4_000;
const termAfterMs = 200;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
    const [port] = await freePorts(1);
    const runs = await startServer({ port, id: "archive-1", workMsOf: (path) => path.endsWith("/second") ? secondWorkMs : firstWorkMs }, record);
    await deployment.startStore();
    await deployment.configure(configurationOf({
        routes: [{ name: "archive", type: "safe", timeoutMs: budgetMs, latencyMs: 2_000, service: "archives" }], services: ["archives"],
    }));
    deployment.register({ id: "archive-1", service: "archives", port, slots: 16 });
    const hosts = [await deployment.startHost("host-1"), await deployment.startHost("host-2")];
    const [host] = hosts;
    await waitUntil("requests are served", async () => (await ask(host, { path: "/archive/first", id: `warm-${Math.random()}` }, 2_000))?.status === 200);
    const clients = Array.from({ length: connectionCount }, () => openConnection(host));
    await Promise.all(clients.map(async (connection, index) => {
        connection.send({ path: "/archive/first", id: `kept-${index}`, budgetMs });
        await connection.answersUpTo(1, budgetMs);
    }));
    clients.forEach((connection, index) => {
        connection.send({ path: "/archive/first", id: `first-${index}`, budgetMs }, { path: "/archive/second", id: `second-${index}`, budgetMs });
    });
    await sleep(termAfterMs);
    const passedOn = clients.map((_, index) => runs.has(`second-${index}`));
    if (hasTrouble) {
        record("host-1 gets SIGTERM");
        host.child.kill("SIGTERM");
    }
    const outcomes = await Promise.all(clients.map(async (connection, index) => {
        const { answers, isClosed } = await connection.answersUpTo(3, budgetMs + 1_000);
        const found = answers.map(({ requestId, status, closes }) => `${requestId} ${status}${closes ? " and close" : ""}`);
        const state = runs.get(`second-${index}`)?.state ?? "not passed on";
        record(`client ${index}: answers: ${found.join(", ")}; connection ${isClosed ? "closed" : "open"}; second request: ${state}`);
        connection.close();
        return passedOn[index] && isClosed && !answers.some(({ requestId }) => requestId === `second-${index}`);
    }));
    const lostCount = outcomes.filter((isLost) => isLost).length;
    record(`${lostCount} of ${connectionCount} requests were read whole and passed on, and their connection ended without an answer`);
    return lostCount > 0 ? exitCodes.broken : exitCodes.held;
});
