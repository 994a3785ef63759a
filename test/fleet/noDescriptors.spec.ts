import http from "node:http";
import net from "node:net";
import { expect } from "chai";
import type { FleetHost } from "./fleet.js";
import { Fleet, paths, send } from "./fleet.js";
import { limitOpenFiles, nextDescriptor } from "./openFiles.js";

/** A host that says it is ready takes no connection for at most this long. */
const maxFalselyReadyMs = 3_000;

const openFilesAfterwards = 4_096;

/** Connections that take the descriptors which the host gives back meanwhile. */
const idleConnectionCount = 60;

describe("host without a free descriptor", () => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    const idle: net.Socket[] = [];
    let fleet: Fleet;
    let host: FleetHost;

    /** Asks on a connection that stays open, which needs no further descriptor of the host. */
    const readyStatus = () => new Promise<number>((resolve) => {
        http.get({ host: "127.0.0.1", port: host.readyPort, agent }, (response) => {
            response.resume().once("end", () => {
                resolve(response.statusCode ?? 0);
            });
        }).once("error", () => {
            resolve(0);
        });
    });

    before(async () => {
        fleet = await Fleet.start(1, 1, 1);
        [host] = fleet.hosts as [FleetHost];
    });

    after(async () => {
        agent.destroy();
        for (const socket of idle) {
            socket.destroy();
        }
        await fleet.stop();
    });

    // Guards against a host that stays in the balancer's list, though its client listener takes no connection.
    it("says that it is not ready, and is ready once it takes connections again", async () => {
        expect(await readyStatus()).to.equal(200);
        limitOpenFiles(host, nextDescriptor(host));
        for (let index = 0; index < idleConnectionCount; index += 1) {
            idle.push(net.connect(host.clientPort, "127.0.0.1").on("error", () => undefined));
        }
        await fleet.waitUntil("the host says that it is not ready", async () => await readyStatus() === 503, maxFalselyReadyMs);
        limitOpenFiles(host, openFilesAfterwards);
        await fleet.waitUntil("the host says that it is ready", async () => await readyStatus() === 200, maxFalselyReadyMs);
        expect((await send(host, { id: "after", path: `${paths.list}x` })).status).to.equal(200);
    });
});
