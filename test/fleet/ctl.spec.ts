import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { once } from "node:events";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { stringify } from "yaml";
import type { StoreStandIn } from "../../platform/standins/storeStandIn.js";
import { startStore } from "../../platform/standins/storeStandIn.js";
import { platformDecoders } from "../../platform/decoders.js";
import { createStore } from "../../platform/store.js";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import { publish } from "../../src/control/configCommands.js";
import { createDumpHttp } from "../../src/control/dumpHttp.js";
import type { HostDump } from "../../src/control/session.js";
import { createSession } from "../../src/control/session.js";
import type { Address, HostId, KeyRange, RunId, ServiceId, TargetId, Term } from "../../src/model/names.js";
import { encodeLedgerRecord, ownershipKeyOf, termKey } from "../../src/ownership/ledgerRecords.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { createTopicReader } from "../../src/store/topicReader.js";
import { sampleDocument } from "../config/sample.js";
import { buildRoutingConfig } from "./fleet.js";
import { run } from "./ctlProcess.js";

const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined };
const loopback = "127.0.0.1";
const fingerprint = "aB3_fingerprint-";
const hyphenFingerprint = "-B3_fingerprint-";
const note = ["--author", "ops", "--reason", "a test"];

/** One way to call a verb, and what it prints. The words of the verb come first in `args`. */
interface Call {
    verb: string;
    args: readonly string[];
    exitCode: number;
    prints: RegExp;
}

/** Every verb with each of its arguments and options, on a store with one published document. */
function callsWith(document: string, log: string, routing: string): readonly Call[] {
    return [
        { verb: "config validate", args: [document], exitCode: 0, prints: /The document is valid/ },
        { verb: "config check", args: [routing], exitCode: 2, prints: /service leases: it has no targets/ },
        {
            verb: "config check", args: [routing, "--against", routing, "--memory-mb", "300", "--extra-retries", "0"], exitCode: 2,
            prints: /retry budget cannot cover its 2 attempts/,
        },
        { verb: "config publish", args: [document, ...note, "--based-on", "1"], exitCode: 0, prints: /Version 2 is published/ },
        { verb: "config publish", args: [document, ...note], exitCode: 0, prints: /Version 2 is published/ },
        { verb: "config show", args: [], exitCode: 0, prints: /Version 1/ },
        { verb: "config diff", args: [document], exitCode: 0, prints: /0 change\(s\) against version 1/ },
        { verb: "config history", args: [], exitCode: 0, prints: /a test/ },
        { verb: "config status", args: ["--wait", "--timeout-ms", "300"], exitCode: 0, prints: /Version 1 is in force on every running host/ },
        { verb: "config status", args: [], exitCode: 0, prints: /Version 1 is in force on every running host/ },
        { verb: "config revert", args: ["1", ...note], exitCode: 0, prints: /Version 2 is published/ },
        { verb: "config revert", args: [...note, "99"], exitCode: 1, prints: /Version 99 is not kept/ },
        { verb: "status", args: [], exitCode: 0, prints: /Every running host is ready|"hostId": "h1"/ },
        { verb: "targets", args: [], exitCode: 0, prints: /t1/ },
        { verb: "owner", args: ["leases", "4711"], exitCode: 0, prints: /Key 4711 of leases is owned by t1/ },
        { verb: "drain", args: ["t1"], exitCode: 0, prints: /t1 gets no new work/ },
        { verb: "drain", args: ["t1", "--undo"], exitCode: 0, prints: /t1 may get work again/ },
        { verb: "quarantine list", args: [], exitCode: 0, prints: new RegExp(fingerprint) },
        { verb: "quarantine release", args: [fingerprint, ...note], exitCode: 0, prints: /may run again/ },
        { verb: "quarantine release", args: [hyphenFingerprint, ...note], exitCode: 0, prints: /fingerprint -B3_fingerprint- may run again/ },
        { verb: "dump", args: ["h1"], exitCode: 0, prints: /knowledgeAgeMs/ },
        { verb: "explain", args: ["r1", log, log], exitCode: 0, prints: /Cause: overloaded/ },
        { verb: "explain", args: ["-r2", log], exitCode: 0, prints: /Cause: no-target/ },
    ];
}

/** Lists the verbs that a help text names, such as `config publish`. */
function verbsIn(help: string): string[] {
    return [...help.matchAll(/^ {2}hornbeamctl ((?:[a-z]+ ?)+)(?= |$)/gm)].map(([, words = ""]) => words.trim());
}

/** Lists the options that a help text names. */
function optionsIn(help: string): string[] {
    return [...help.matchAll(/^ +(--[a-z-]+) /gm)].map(([, option = ""]) => option);
}

describe("hornbeamctl as a process", function () {
    this.timeout(60_000);
    const folder = mkdtempSync(join(tmpdir(), "hornbeam-ctl-"));
    const document = join(folder, "document.yaml");
    const log = join(folder, "log");
    const routing = join(folder, "routing.json");
    let store: StoreStandIn;
    let admin: http.Server;
    let common: string[];

    before(() => {
        writeFileSync(document, stringify(sampleDocument));
        writeFileSync(routing, JSON.stringify(buildRoutingConfig(1)));
        writeFileSync(log, [{ request: "r1", reason: "overloaded" }, { request: "-r2", reason: "no-target" }].map((fields) => JSON.stringify({
            hostname: "h1", msg: "request: refused", targets: ["t1"], time: "2026-01-01T00:00:02.000Z", ...fields,
        })).join("\n"));
    });

    beforeEach(async () => {
        store = await startStore(loopback, 0);
        const self = { hostId: "h1", runId: "r", dataCentreId: "dc-a", peerAddress: `${loopback}:1` };
        const ranges = [{ from: 0, to: 65_535 } as KeyRange];
        const dump: HostDump = {
            self, members: [self], configVersion: 1, ledgerUpTo: 3, knowledgeAgeMs: 200, pending: 0,
            crashes: { standings: [fingerprint, hyphenFingerprint].map((known) =>
                ({ fingerprint: known, kind: "quarantined", crashCount: 3, remainingMs: 9_000, targets: ["t1"] })) },
            coordinator: { term: 2, owners: { targets: [{ targetId: "t1", standing: "ready", ranges, freeInMs: 0 }] } },
        };
        admin = http.createServer((_request, response) => response.end(JSON.stringify(dump))).listen(0, loopback);
        await once(admin, "listening");
        common = ["--store", store.address, "--admin-port", String((admin.address() as AddressInfo).port)];
        await createStore(store.address as Address, () => undefined).append([
            encodeLedgerRecord(termKey, {
                kind: "term", term: 2 as Term, hostId: "h1" as HostId, runId: "r" as RunId, peerAddress: `${loopback}:1` as Address,
            }),
            encodeLedgerRecord(ownershipKeyOf("t1" as TargetId), {
                kind: "ownership", targetId: "t1" as TargetId, serviceId: "leases" as ServiceId, address: "10.0.0.1:1" as Address, ranges,
            }),
        ], undefined);
    });

    afterEach(async () => {
        admin.close();
        await store.stop();
    });

    async function publishDocument(): Promise<void> {
        const clock = createSystemClock();
        const view = new ClusterView();
        const port = createStore(store.address as Address, () => undefined);
        const reader = createTopicReader({ store: port, decoders: platformDecoders, view, clock, log: silentLog });
        const session = createSession({ store: port, reader, view, clock, dumps: createDumpHttp(), adminPort: 1 });
        expect(await publish(session, stringify(sampleDocument), { author: "ops", reason: "a test" })).to.include({ exitCode: 0 });
    }

    for (const { verb, args, exitCode, prints } of callsWith(document, log, routing)) {
        const title = [verb, ...args].join(" ").replaceAll(folder, "FOLDER");

        it(`runs ${title}`, async () => {
            await publishDocument();
            const { stdout, stderr, exitCode: actualExitCode } = await run([...verb.split(" "), ...args, ...common]);
            expect(stderr).to.equal("");
            expect(stdout).to.match(prints);
            expect(actualExitCode).to.equal(exitCode);
        });

        it(`runs ${title}, with environment variables, and prints JSON`, async () => {
            await publishDocument();
            const [, address, , port] = common as [string, string, string, string];
            const environment = { HORNBEAM_STORE: address, HORNBEAM_ADMIN_PORT: port };
            const { stdout, stderr, exitCode: actualExitCode } = await run(["--json", ...verb.split(" "), ...args], environment);
            expect(stderr).to.equal("");
            expect((JSON.parse(stdout) as { exitCode: number }).exitCode).to.equal(exitCode);
            expect(actualExitCode).to.equal(exitCode);
        });
    }

    it("has no verb, option or argument that this file does not run", async () => {
        const calls = callsWith(document, log, routing);
        const help = async (...words: string[]) => (await run([...words, "--help"])).stdout;
        const top = verbsIn(await help());
        const groups = top.filter((verb) => ["config", "quarantine"].includes(verb));
        const nested = (await Promise.all(groups.map((group) => help(group)))).flatMap(verbsIn);
        const verbs = [...top.filter((verb) => !groups.includes(verb)), ...nested];
        expect([...new Set(calls.map(({ verb }) => verb))].sort()).to.deep.equal(verbs.sort());
        for (const verb of verbs) {
            const used = [...common, "--json", "--help", "--version", ...calls.filter((call) => call.verb === verb).flatMap(({ args }) => args)];
            expect(used, verb).to.include.members(optionsIn(await help(...verb.split(" "))));
        }
    });

    it("prints the version of package.json, wherever it is run", async () => {
        const { version } = JSON.parse(readFileSync("package.json", "utf8")) as { version: string };
        for (const cwd of [".", folder]) {
            expect(await run(["--version"], {}, { cwd })).to.deep.equal({ exitCode: 0, stdout: `${version}\n`, stderr: "" });
        }
    });
});
