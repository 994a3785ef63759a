import { spawnSync, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { once } from "node:events";
import { expect } from "chai";
import { stringify } from "yaml";
import { noServerFaults } from "../../platform/standins/serverFaults.js";
import { keyOfName } from "../../src/entry/ownDialect.js";
import { sampleDocument } from "../config/sample.js";
import type { FleetHost } from "./fleet.js";
import { Fleet, send, sleep } from "./fleet.js";

const readPath = "/v1/hladvarmi/batteries/keys/";

describe("the project's own HTTP interface and configuration document", function () {
    this.timeout(40_000);
    let fleet: Fleet;
    let documentFile: string;

    /** Runs hornbeamctl against the fleet's store and returns its exit code and output. */
    async function runCtl(...args: string[]): Promise<{ code: number; text: string }> {
        const child = spawn(process.execPath, [
            "target/hornbeamctl.cjs", ...args, "--store", fleet.store.address, "--admin-port", String(fleet.hosts[0]?.adminPort ?? 1),
        ]);
        let text = "";
        for (const stream of [child.stdout, child.stderr]) {
            stream.on("data", (chunk: Buffer) => {
                text += chunk.toString();
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

    it("serve reads, orders, lists and writes once hornbeamctl has published a document", async () => {
        expect((await runCtl("config", "publish", documentFile, "--author", "ops", "--reason", "first document")).code).to.equal(0);
        await fleet.waitUntilServing();
        expect((await runCtl("config", "status", "--wait")).text).to.include("Version 1 is in force on every running host.");
        const [host] = fleet.hosts as [FleetHost];
        const read = await send(host, { id: "r", path: `${readPath}battery-1`, headers: { "hornbeam-request-id": "read-1" } });
        expect(read.status).to.equal(200);
        expect(read.headers["hornbeam-outcome"]).to.equal("done");
        expect((await send(host, { id: "o", method: "POST", path: `${readPath}battery-1`, body: "{}" })).status).to.equal(200);
        expect((await send(host, { id: "l", path: "/v1/malanad/gazetteer/lists/kochi" })).status).to.equal(200);
        expect((await send(host, { id: "w", method: "POST", path: "/v1/hladvarmi/meters/meter-reads/", body: "{}" })).status).to.equal(200);
        expect((await send(host, { id: "n", path: "/v1/nobody/batteries/keys/x" })).status).to.equal(404);
        expect(fleet.holders(keyOfName("battery-1"))).to.have.length(1);
    });

    it("distinguish an order that was not run from one that may have run", async () => {
        const [host] = fleet.hosts as [FleetHost];
        fleet.servers.forEach((server) => {
            server.faults = { ...noServerFaults, loseAnswerShare: 1 };
        });
        const lost = await send(host, { id: "x", method: "POST", path: `${readPath}battery-2`, body: "{}", headers: { "hornbeam-request-id": "order-2" } });
        expect([lost.status, lost.headers["hornbeam-outcome"]]).to.deep.equal([502, "unknown"]);
        fleet.servers.forEach((server) => {
            server.faults = { ...noServerFaults, shedShare: 1 };
        });
        const shed = await send(host, { id: "y", method: "POST", path: `${readPath}battery-3`, body: "{}", headers: { "hornbeam-request-id": "order-3" } });
        expect([shed.status, shed.headers["hornbeam-outcome"]]).to.deep.equal([503, "not-run"]);
        expect(Number(shed.headers["hornbeam-retry-after-ms"])).to.be.above(0);
        fleet.servers.forEach((server) => {
            server.faults = noServerFaults;
        });
    });

    it("move the keys away from a target that an operator drains, and show their owner", async () => {
        const drained = fleet.holders(keyOfName("battery-1"))[0]!;
        expect((await runCtl("drain", drained.id)).code).to.equal(0);
        await fleet.waitUntil("another target has its keys", () => Promise.resolve(!drained.holds(keyOfName("battery-1"))), 8_000);
        await sleep(300);
        const owner = await runCtl("owner", "leases", "battery-1");
        expect(owner.text).to.match(/is owned by k[0-9]/).and.not.include(drained.id);
        expect((await runCtl("targets")).text).to.match(new RegExp(`${drained.id} .*leaving`));
        expect((await runCtl("status")).text).to.include("Every running host is ready.");
    });

    it("report invalid command lines", () => {
        const run = (...args: string[]) => spawnSync(process.execPath, ["target/hornbeamctl.cjs", ...args], { encoding: "utf8" });
        expect(run("status", "--store", "nowhere").stderr).to.include("--store (or HORNBEAM_STORE) is \"nowhere\"; allowed: an IP address and a port");
        expect(run("fly").status).to.equal(2);
        expect(run("config", "validate", "/no/such/file").stderr).to.include("cannot be read");
    });
});
