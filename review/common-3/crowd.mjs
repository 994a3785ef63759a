// Crowds of clients inside the limits, at two hosts, in rounds.
// A host that exceeds its memory is killed and started again, as on the platform.
import fs from "node:fs";
import net from "node:net";
import { configuration, nowMs, runCase, send, Server, sleep, Store } from "./harness.mjs";

const rounds = 3;
const roundMs = 20_000;

/** Rate at which the clients of a host send: below its link, which has 1,000 Mbit/s, so that no packet waits there. */
const bytesPerSecond = 90_000_000;
const batchSize = 20;
const minBatchMs = 25;

/** Memory of a machine by the settings; a process that exceeds it is killed. */
const memoryMb = 350;

/** Memory of a process of its own; what it maps from files, and what waits unread in the kernel, is left out. */
function residentMb({ child }) {
    try {
        return Number(/RssAnon:\s+(\d+)/.exec(fs.readFileSync(`/proc/${child.pid}/status`, "utf8"))?.[1] ?? 0) / 1_024;
    }
    catch {
        return 0;
    }
}

/**
 * Plays a case.
 * @param folder folder of the case
 * @param crowd connections to each host; the settings allow it 4,100 descriptors
 * @param requestOf returns the pieces that a client sends, by the id of its request; it never sends the rest
 */
export const playCrowd = (folder, crowd, requestOf) => runCase(folder, async (scene) => {
    const { record } = scene;
    const store = scene.store = await new Store().start();
    store.put("keyed.op", "config", configuration(1));
    for (const [id, service] of [["s0", "keyed"], ["s1", "plain"]]) {
        scene.servers.push(await new Server({ id, service, store, sharded: service === "keyed" }).start());
    }
    const hosts = ["h0", "h1"].map((name) => scene.host(name, store.address));
    const ends = new Map(hosts.map((host) => [host, 0]));

    const playRound = async (host, round) => {
        host.start();
        await scene.waitUntil(`round ${round}: ${host.name} is ready, ${Math.round(residentMb(host))} MB`, () => host.isReady());
        const bytesEach = requestOf("x").reduce((sum, piece) => sum + piece.length, 0);
        const batchMs = Math.max(minBatchMs, 1_000 * batchSize * bytesEach / bytesPerSecond);
        const sockets = [];
        let closedByHost = 0;
        let mostMb = 0;
        for (let index = 0; scene.hasTrouble && index < crowd && !host.hasEnded; index += 1) {
            const socket = net.connect(8161, host.ip);
            sockets.push(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => {
                closedByHost += 1;
            });
            socket.resume();
            requestOf(`${host.name}-${round}-${index}`).forEach((piece) => socket.write(piece));
            if (index % batchSize === batchSize - 1) {
                await sleep(batchMs);
                mostMb = Math.max(mostMb, residentMb(host));
            }
        }
        record.line(`round ${round}: ${host.name}: ${sockets.length} clients have sent ${bytesEach} bytes each, ${batchSize} clients in ${Math.round(batchMs)} ms; ${Math.round(mostMb)} MB, ${closedByHost} closed by the host`);
        const untilMs = nowMs() + (scene.hasTrouble ? roundMs : 3_000);
        while (!host.hasEnded && mostMb <= memoryMb && nowMs() < untilMs && (!scene.hasTrouble || closedByHost < sockets.length)) {
            await sleep(50);
            mostMb = Math.max(mostMb, residentMb(host));
        }
        if (host.hasEnded || mostMb > memoryMb) {
            ends.set(host, ends.get(host) + 1);
            const how = host.hasEnded ? JSON.stringify(await host.ended) : `over its memory limit of ${memoryMb} MB`;
            record.line(`round ${round}: ${host.name} ENDED by itself: ${how}; at most ${Math.round(mostMb)} MB seen`);
        }
        else {
            const answer = await send(host, { path: "/list/a", deadlineMs: 3_000 });
            record.line(`round ${round}: ${host.name} lives; an ordinary request is answered ${answer.status}; at most ${Math.round(mostMb)} MB seen`);
        }
        sockets.forEach((socket) => socket.destroy());
        await host.kill();
        await sleep(300);
    };

    await Promise.all(hosts.map(async (host) => {
        for (let round = 1; round <= rounds; round += 1) {
            await playRound(host, round);
        }
    }));
    record.line(`run by the servers: ${scene.servers.flatMap(({ runs }) => runs.map(({ id }) => id)).join(", ") || "nothing"}`);
    record.line(`ends by themselves: ${hosts.map((host) => `${host.name} ${ends.get(host)}`).join(", ")}`);
    return hosts.every((host) => ends.get(host) >= rounds);
});
