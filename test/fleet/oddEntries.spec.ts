import http from "node:http";
import { expect } from "chai";
import { topics } from "../../platform/names.js";
import { sampleDocument } from "../config/sample.js";
import { deepJson } from "../support/oddValues.js";
import { SeededRandom } from "../support/seededRandom.js";
import type { ClientAnswer, FleetHost } from "./fleet.js";
import { buildRoutingConfig, fetchAdminPage, Fleet, isReady, keyedService, paths, plainService, send, sleep, unansweredStatus } from "./fleet.js";

const seed = 40;
const hostCount = 4;
const playMs = 6_000;
const oddPeriodMs = 30;

/** Time for which an odd entry stays before its key is removed. */
const oddEntryStaysMs = 1_500;

const clientPeriodMs = 8;

/** Time within which each host must know a new server, and a new configuration. */
const followBoundMs = 2_500;

/** Least share of requests that are served while odd entries come and go; they take no capacity. */
const minServedShare = 0.97;

const entry = {
    service: plainService, address: "127.0.0.1:9", zone: "here", version: "v1", max_concurrency: 3, state: "ready", warmup_left_ms: 0, sequence: 1,
    born: 1_700_000_000_000,
};

const withText = (record: object, from: string, to: string) => Buffer.from(JSON.stringify(record).replace(from, to));

/** Odd entries of servers; none of them names a server to use. */
const oddEntries: readonly Buffer[] = [
    ...["127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:0", "127.0.0.256:80", "127.0.0.1:080", "0.0.0.0:80", ""].map((address) =>
        Buffer.from(JSON.stringify({ ...entry, address }))),
    ...["4294967296", "1e999", "-1", "0", "\"3\""].map((slots) => withText(entry, "\"max_concurrency\":3", `"max_concurrency":${slots}`)),
    ...["9007199254740993", "1e300", "null"].map((born) => withText(entry, "1700000000000", born)),
    withText(entry, "\"sequence\":1", "\"sequence\":1e300"),
    withText(entry, "\"version\":\"v1\"", `"version":${deepJson(20_000)}`),
    withText(entry, "\"version\":\"v1\"", `"version":${deepJson(100_000)}`),
    withText(entry, "\"v1\"", "{\"__proto__\":{\"state\":\"draining\"}}").subarray(0, 90),
    Buffer.from([0xff, 0x00, 0x7b]),
];

/** Keys under which odd entries are written, besides new ones; `p0` is a server that writes its own entry again soon. */
const oddIds = ["odd\r\nTarget-Instance: p0", "", "i".repeat(200), "p0"];

/** Odd records in the other topics; none of them may be acted on. */
const oddRecords: readonly [topic: string, key: string, value: Buffer | object][] = [
    [topics.configuration, "config", { ...buildRoutingConfig(1), version: "r99999999999999999999" }],
    [topics.configuration, "config", buildRoutingConfig(90, { timeoutMs: 2 ** 31 })],
    [topics.configuration, "config", Buffer.from(deepJson(100_000))],
    [topics.ledger, "ownership/p0", { kind: "ownership", targetId: "p0", serviceId: keyedService, address: "127.0.0.1:99999", ranges: [{ from: 0, to: 9 }] }],
    [topics.ledger, "ownership/k0", { kind: "ownership", targetId: "k0", serviceId: keyedService, address: "127.0.0.1:9", ranges: [{ from: 9, to: 0 }] }],
    [topics.ledger, "drain", { kind: "drain", targetIds: Array.from({ length: 100_001 }, (_, index) => String(index)) }],
    [topics.ledger, "drain", Buffer.from(`{"kind":"drain","targetIds":[],"later":${deepJson(100_000)}}`)],
    [topics.ledger, "document/7", { kind: "document", version: 7, basedOn: 6, document: {}, author: "a", reason: "r", publishedWallMs: 1 }],
    [topics.ledger, "document/8", Buffer.from(`{"kind":"document","version":8,"document":${deepJson(100_000)}}`)],
    [topics.ledger, "document/9", {
        kind: "document", version: 9, basedOn: 8, document: { ...sampleDocument, exceptions: 3 }, author: "a", reason: "r", publishedWallMs: 1,
    }],
    [topics.ledger, "completion/f", Buffer.from("{\"kind\":\"completion\",\"fingerprint\":\"f\",\"atWallMs\":1e300}")],
    [topics.ledger, "crash/p0/1/x", {
        kind: "crash", recordedBy: "x", targetId: "p0", bornWallMs: 1, serviceId: plainService, others: { asked: -1, down: [] }, atWallMs: 1e300,
        requests: [],
    }],
    [topics.ledger, "term", Buffer.from("{\"kind\":\"term\",\"term\":1e300,\"hostId\":\"x\",\"runId\":\"x\",\"peerAddress\":\"127.0.0.1:99999\"}")],
];

interface DumpedHost {
    configVersion: number | undefined;
    targets: { targetId: string; state: string; address: string }[];
}

async function dump(host: FleetHost): Promise<DumpedHost> {
    return JSON.parse(await fetchAdminPage(host, "/dump")) as DumpedHost;
}

describe("odd entries of another writer among good ones", function () {
    this.timeout(90_000);
    let fleet: Fleet;
    let agent: http.Agent;
    let nextConfigVersion = 10;
    let serverCount = 0;
    let oddEntryCount = 0;

    before(async () => {
        fleet = await Fleet.start(hostCount, 3, 3);
        agent = new http.Agent({ keepAlive: true, maxSockets: 64 });
    });

    after(async () => {
        agent.destroy();
        await fleet.stop();
    });

    /** Sends requests of all kinds to all hosts for some time, and returns the answers by their path. */
    const sendRequests = async (prefix: string, durationMs: number): Promise<(ClientAnswer & { path: string })[]> => {
        const answers: Promise<ClientAnswer & { path: string }>[] = [];
        const timer = setInterval(() => {
            const count = answers.length;
            const path = [paths.read, paths.order, paths.list][count % 3] ?? paths.list;
            const isOrder = path === paths.order;
            const host = fleet.hosts[count % fleet.hosts.length]!;
            const key = path === paths.list ? undefined : (count * 7_919) % 65_536;
            answers.push(send(host, {
                id: `${prefix}-${String(count)}`, path: `${path}${String(count)}`, key, agent, ...isOrder ? { method: "POST", body: "{}" } : {},
            }).then((answer) => ({ ...answer, path })));
        }, clientPeriodMs);
        await sleep(durationMs);
        clearInterval(timer);
        return Promise.all(answers);
    };

    const writeOddRecords = async (durationMs: number, write: (random: SeededRandom) => void): Promise<void> => {
        const random = new SeededRandom(seed);
        const untilMs = performance.now() + durationMs;
        while (performance.now() < untilMs) {
            write(random);
            await sleep(oddPeriodMs);
        }
    };

    const writeOddEntry = (random: SeededRandom) => {
        oddEntryCount += 1;
        const key = random.chance(0.5) ? `odd-${String(oddEntryCount)}` : random.pick(oddIds);
        fleet.store.put(topics.targets, key, random.pick(oddEntries));
        if (key !== "p0") {
            setTimeout(() => fleet.store.put(topics.targets, key, undefined), oddEntryStaysMs);
        }
    };

    const expectAnswered = (answers: readonly ClientAnswer[]) => {
        expect(answers.length).to.be.above(100);
        expect(answers.filter(({ status }) => status === 0 || status === unansweredStatus)).to.deep.equal([]);
        const servedShare = answers.filter(({ status }) => status === 200).length / answers.length;
        expect(servedShare, "share of requests served").to.be.above(minServedShare);
    };

    /** Expects that no host has ended or met an unexpected error, and that each learns of a new server and a new configuration. */
    const expectAllFollow = async () => {
        expect(fleet.hosts.flatMap(({ child }) => child.exitCode ?? child.signalCode ?? [])).to.deep.equal([]);
        expect(fleet.logs().join("\n")).not.to.match(/unexpected error|uncaught exception|unhandled rejection/);
        serverCount += 1;
        nextConfigVersion += 1;
        const id = `new-${String(serverCount)}`;
        await fleet.addServer({ id, service: plainService, sharded: false });
        fleet.store.put(topics.configuration, "config", buildRoutingConfig(nextConfigVersion));
        const doesFollow = async (host: FleetHost) => {
            const { targets, configVersion } = await dump(host);
            return configVersion === nextConfigVersion && targets.some(({ targetId, state }) => targetId === id && state === "ready");
        };
        await fleet.waitUntil("every host follows", async () => (await Promise.all(fleet.hosts.map(doesFollow))).every(Boolean), followBoundMs);
        const known = (await Promise.all(fleet.hosts.map(dump))).flatMap(({ targets }) => targets).filter(({ state }) => state !== "gone");
        expect(known.filter(({ targetId }) => !/^([kp][0-9]|new-[0-9]+)$/.test(targetId))).to.deep.equal([]);
    };

    it("end no host, close no client's connection, and all hosts follow the list", async () => {
        const [answers] = await Promise.all([sendRequests("entries", playMs), writeOddRecords(playMs, writeOddEntry)]);
        expectAnswered(answers);
        await expectAllFollow();
    });

    it("nor do odd configurations and records in the ledger", async () => {
        const [answers] = await Promise.all([sendRequests("records", playMs), writeOddRecords(playMs, (random) => {
            fleet.store.put(...random.pick(oddRecords));
        })]);
        expectAnswered(answers);
        await expectAllFollow();
    });

    it("nor when the coordinator is lost, and a host that starts finds nothing but odd records of the term", async () => {
        oddRecords.forEach((record) => fleet.store.put(...record));
        oddEntries.forEach((value, index) => fleet.store.put(topics.targets, `odd-${String(index)}`, value));
        fleet.store.compact(topics.ledger);
        fleet.store.compact(topics.targets);
        const isCoordinating = await Promise.all(fleet.hosts.map(async (host) => (await fetchAdminPage(host, "/dump")).includes("\"followers\"")));
        const coordinator = fleet.hosts[isCoordinating.indexOf(true)];
        expect(coordinator).not.to.equal(undefined);
        await fleet.endHost(coordinator!, "SIGKILL");
        await fleet.startHost("late");
        await fleet.waitUntil("the new host is ready", () => isReady(fleet.hosts.at(-1)!), 25_000);
        await fleet.waitUntil("every key is held", () => Promise.resolve([0, 30_000, 65_535].every((key) => fleet.holders(key).length === 1)), 25_000);
        await writeOddRecords(1_000, writeOddEntry);
        expectAnswered(await sendRequests("late", 1_500));
        await expectAllFollow();
    });
});
