import { spawnSync, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { once } from "node:events";
import { expect } from "chai";
import { stringify } from "yaml";
import { noServerFaults } from "../../platform/standins/serverStandIn.js";
import { keyOfName } from "../../src/entry/ownDialect.js";
import { sampleDocument } from "../config/sample.js";
import type { FleetHost } from "./fleet.js";
import { Fleet, send, sleep } from "./fleet.js";

const readPath = "/v1/hladvarmi/batteries/keys/";

describe("the project's own interface and configuration", function () {
    this.timeout(40_000);
    let fleet: Fleet;
    let documentFile: string;

    /** Runs hornbeamctl against the fleet's store. */
    async function ctl(...args: string[]): Promise<{ code: number; text: string }> {
        const child = spawn(process.execPath, [
            "target/hornbeamctl.cjs", ...args, "--store", fleet.store.address, "--admin-port", String(fleet.hosts[0]?.adminPort ?? 1),
        ]);
        let text = "";
        for (const stream of [child.stdout, child.stderr]) {
            stream.on("data", (piece: Buffer) => {
                text += piece.toString();
            });
        }
        const [code] = await once(child, "exit") as [number];
        return { code, text };
    }

    before(async () => {
        fleet = await Fleet.start(1, 3, 1, false);
        documentFile = join(mkdtempSync(join(tmpdir(), "hornbeam-own-")), "document.yaml");
        writeFileSync(documentFile, stringify(sampleDocument));
    });

    after(async () => {
        await fleet.stop();
    });

    it("takes hold when hornbeamctl publishes a document, and serves reads, orders, lists and writes", async () => {
        expect((await ctl("config", "publish", documentFile, "--author", "ops", "--reason", "first document")).code).to.equal(0);
        await fleet.untilServing();
        expect((await ctl("config", "status", "--wait")).text).to.include("Version 1 is in force on every host");
        const [to] = fleet.hosts as [FleetHost];
        const read = await send(to, { id: "r", path: `${readPath}battery-1`, headers: { "hornbeam-request-id": "read-1" } });
        expect(read.status).to.equal(200);
        expect(read.headers["hornbeam-outcome"]).to.equal("done");
        expect((await send(to, { id: "o", method: "POST", path: `${readPath}battery-1`, body: "{}" })).status).to.equal(200);
        expect((await send(to, { id: "l", path: "/v1/malanad/gazetteer/lists/kochi" })).status).to.equal(200);
        expect((await send(to, { id: "w", method: "POST", path: "/v1/hladvarmi/meters/meter-reads/", body: "{}" })).status).to.equal(200);
        expect((await send(to, { id: "n", path: "/v1/nobody/batteries/keys/x" })).status).to.equal(404);
        expect(fleet.holders(keyOfName("battery-1"))).to.have.length(1);
    });

    it("tells an order that has not run from one that may have", async () => {
        const [to] = fleet.hosts as [FleetHost];
        fleet.servers.forEach((server) => {
            server.faults = { ...noServerFaults, loseAnswerShare: 1 };
        });
        const lost = await send(to, { id: "x", method: "POST", path: `${readPath}battery-2`, body: "{}", headers: { "hornbeam-request-id": "order-2" } });
        expect([lost.status, lost.headers["hornbeam-outcome"]]).to.deep.equal([502, "unknown"]);
        fleet.servers.forEach((server) => {
            server.faults = { ...noServerFaults, shedShare: 1 };
        });
        const shed = await send(to, { id: "y", method: "POST", path: `${readPath}battery-3`, body: "{}", headers: { "hornbeam-request-id": "order-3" } });
        expect([shed.status, shed.headers["hornbeam-outcome"]]).to.deep.equal([503, "not-run"]);
        expect(Number(shed.headers["hornbeam-retry-after-ms"])).to.be.above(0);
        fleet.servers.forEach((server) => {
            server.faults = noServerFaults;
        });
    });

    it("takes the keys off a target that an operator drains, and shows where they are", async () => {
        const held = fleet.holders(keyOfName("battery-1"))[0]!;
        expect((await ctl("drain", held.id)).code).to.equal(0);
        await fleet.until("another target has its keys", () => Promise.resolve(!held.holds(keyOfName("battery-1"))), 8_000);
        await sleep(300);
        const owner = await ctl("owner", "leases", "battery-1");
        expect(owner.text).to.match(/is owned by k[0-9]/).and.not.include(held.id);
        expect((await ctl("targets")).text).to.match(new RegExp(`${held.id} .*leaving`));
        expect((await ctl("status")).text).to.include("Every host at work is well.");
    });

    it("explains its own mistakes on the command line", () => {
        const run = (...args: string[]) => spawnSync(process.execPath, ["target/hornbeamctl.cjs", ...args], { encoding: "utf8" });
        expect(run("status", "--store", "nowhere").stderr).to.include("--store (or HORNBEAM_STORE) is \"nowhere\"; allowed: an IP number and a port");
        expect(run("fly").status).to.equal(2);
        expect(run("config", "validate", "/no/such/file").stderr).to.include("cannot be read");
    });
});
