import { expect } from "chai";
import fc from "fast-check";
import { ok } from "neverthrow";
import { ConfigAge } from "../../src/cluster/configAge.js";
import { Membership } from "../../src/cluster/membership.js";
import type { Member } from "../../src/cluster/membership.js";
import { createMessageChecks } from "../../src/cluster/messageChecks.js";
import type { News, Report } from "../../src/cluster/messages.js";
import { createNewsReceiver } from "../../src/cluster/newsReceiver.js";
import type { PeerConnection } from "../../src/cluster/peerConnection.js";
import { connectToPeer } from "../../src/cluster/peerConnection.js";
import { CrashEvidence } from "../../src/crashes/crashEvidence.js";
import type { Offset, Term } from "../../src/model/names.js";
import { KeyLoads } from "../../src/ownership/keyLoads.js";
import { OwnerLookup } from "../../src/ownership/ownerLookup.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { oddNumbers } from "../support/oddValues.js";
import { silentLog } from "../support/silentLog.js";
import { VirtualClock } from "../support/virtualTime.js";

/** Seed of the property tests, so that a failure comes again. */
const seed = 42;
const runCount = 2_000;

const entry = {
    targetId: "t-1", serviceId: "leases", address: "10.0.0.9:8080", dataCentreId: "here", slots: 3, state: "ready", bornWallMs: 1, sequence: 4,
    warmingUp: false,
};
const ownership = { kind: "ownership", targetId: "t-1", serviceId: "leases", address: "10.0.0.9:8080", ranges: [{ from: 0, to: 9 }] };
const self = { hostId: "h1", runId: "run-1", peerAddress: "10.0.0.1:7720", dataCentreId: "here", cpuShare: 0.5 };
const crash = {
    targetId: "t-1", bornWallMs: 1, serviceId: "leases", agoMs: 5, requests: [{ content: "a", exact: "b", sentAgoMs: 9 }],
    others: { asked: 2, down: [{ targetId: "t-2", bornWallMs: 3 }] },
};

const news = {
    term: 3, storeAgeMs: 20, configOffset: -1, targetsUpTo: 8, targetsDigest: 5, ledgerUpTo: 2, ledgerFrom: 1, membersVersion: 1,
    targets: [{ targetId: "t-1", offset: 7, entry }], ledger: [{ offset: 1, key: "ownership/t-1", record: ownership }],
    notice: { moving: [{ serviceId: "leases", from: 0, to: 3, freeInMs: 8 }], silent: [{ targetId: "t-1", freeInMs: 9 }] },
    leavingTargets: [{ targetId: "t-1", bornWallMs: 1 }],
    evacuations: { upTo: 9, inForce: [{ dataCentreId: "dc-1", offset: 4, isInForce: true }] }, members: { came: [self], went: ["run-0"] },
    crashEvidence: { crashes: [crash], completions: [{ fingerprint: "a", agoMs: 3 }] },
};

const report = {
    loads: [{ serviceId: "leases", pairs: [4, 20] }], leaving: false,
    pressures: [{ targetId: "t-1", slowness: 1.5, running: 2, waiting: 0, requestsPerSecond: 3.5 }],
};

/** Values of a message that another version might send; unlike JSON, messages can hold NaN and infinite numbers. */
const anyMessageValue = fc.oneof(
    fc.constantFrom<unknown>(...oddNumbers, Number.NaN, Number.POSITIVE_INFINITY, 5n, undefined, "", "\r\n", "10.0.0.9:99999", [], {}, [[]], true),
    fc.double(), fc.string(), fc.anything({ maxDepth: 2 }));

/** Replaces up to two values somewhere in a message. */
function replaceValues(value: unknown, random: fc.GeneratorValue): unknown {
    let replaced = value;
    for (let count = random(() => fc.nat({ max: 2 })); count > 0; count -= 1) {
        replaced = replaceOne(replaced, random);
    }
    return replaced;
}

function replaceOne(value: unknown, random: fc.GeneratorValue): unknown {
    const keys = typeof value === "object" && value ? Object.keys(value) : [];
    if (keys.length === 0 || random(() => fc.nat({ max: 9 })) === 0) {
        return random(() => anyMessageValue);
    }
    const key = keys[random(() => fc.nat({ max: keys.length - 1 }))] as keyof typeof value;
    const inner = replaceOne((value as Record<string, unknown>)[key], random);
    return Array.isArray(value)
        ? value.map((item: unknown, index) => String(index) === key ? inner : item)
        : { ...value as object, [key]: inner };
}

function createChecks() {
    const warnings: object[] = [];
    const checks = createMessageChecks({
        info: () => undefined, warn: (_event, fields) => warnings.push(fields ?? {}), error: () => undefined,
    });
    return { warnings, checks };
}

/** Returns whether every number in a value is finite. */
function hasFiniteNumbers(value: unknown): boolean {
    return typeof value === "object" && value
        ? Object.values(value).every(hasFiniteNumbers)
        : typeof value !== "number" || Number.isFinite(value);
}

/** Creates the receiver of a host, and lets it apply messages. */
function createReceiver() {
    const clock = new VirtualClock();
    const view = new ClusterView();
    const { checks, warnings } = createChecks();
    const membership = new Membership(self as unknown as Member);
    const receiver = createNewsReceiver({
        log: silentLog,
        view, membership, clock, checks, owners: new OwnerLookup(view, 2_000), crashEvidence: new CrashEvidence(),
        configAge: new ConfigAge(), configFetcher: { fetchFrom: () => Promise.resolve() },
        reader: { read: () => Promise.resolve(ok({ targets: [], ledger: [] })) }, latestTerm: () => 3 as Term,
    });
    const connection = { address: "10.0.0.2:7720", call: () => new Promise(() => undefined) } as unknown as PeerConnection;
    const apply = (changed: object) => {
        receiver.apply({ ...news, ...changed } as unknown as News, connection);
    };
    return { clock, view, receiver, membership, warnings, apply };
}

describe("odd values in messages of other hosts", () => {
    it("name no target in an update: an entry that was good before counts as removed, and the others hold", () => {
        const { view, apply, warnings } = createReceiver();
        const change = (targetId: string, offset: number, overrides: object = {}) =>
            ({ targetId, offset, entry: { ...entry, targetId, ...overrides } });
        apply({ targets: [change("t-1", 1), change("t-2", 2)] });
        apply({ targets: [change("t-1", 3, { address: "10.0.0.9:99999" }), change("t-3", 4, { slots: 4_294_967_296 }), change("t\r\n4", 5)] });
        expect([...view.targets.all()].map(({ targetId, state }) => `${targetId} ${state}`)).to.deep.equal(["t-1 gone", "t-2 ready"]);
        expect(warnings.length).to.be.above(1);
    });

    it("change nothing in the ledger", () => {
        const { view, apply } = createReceiver();
        apply({ ledgerFrom: 0, ledgerUpTo: 2, ledger: [
            { offset: 0, key: "ownership/t-1", record: { ...ownership, ranges: [{ from: 0, to: 9 }, { from: 5, to: 12 }] } },
            { offset: 1, key: "ownership/t-2", record: { ...ownership, targetId: "t-2" } },
        ] });
        expect(view.ledger.ownerships().map(({ targetId }) => targetId)).to.deep.equal(["t-2"]);
        expect(view.ledger.upTo).to.equal(2);
    });

    it("do not stay in what a host computes: ages, offsets and sums of load", () => {
        const { clock, view, receiver, membership, apply } = createReceiver();
        apply({});
        const confirmedAtMs = receiver.confirmedAtMs;
        for (const storeAgeMs of [Number.NaN, -1e12, "soon", undefined]) {
            apply({ storeAgeMs });
        }
        apply({ targetsUpTo: 2 ** 53, ledgerUpTo: Number.POSITIVE_INFINITY });
        apply({ members: { came: [{ ...self, runId: "run-9", peerAddress: "10.0.0.9:99999" }], went: [] } });
        expect(receiver.confirmedAtMs).to.equal(confirmedAtMs);
        expect([view.targetsUpTo, view.ledger.upTo < 3]).to.deep.equal([8, true]);
        expect(membership.members().every(({ peerAddress }) => !peerAddress.endsWith(":99999"))).to.equal(true);

        const loads = new KeyLoads();
        loads.add([1, Number.NaN, 2, Number.POSITIVE_INFINITY, 3, -5, 2.5, 10, Number.NaN, 10, 4, 100], clock.now().monoMs);
        const [odd, all] = [loads.loadOf({ from: 0, to: 3 } as never), loads.loadOf({ from: 0, to: 65_535 } as never)];
        expect([odd >= 0 && odd < 1, all > 0 && all < 10]).to.deep.equal([true, true]);
    });

    it("never reach a connection: an address with a port out of range is unreachable", async () => {
        const connected = await connectToPeer("127.0.0.1:99999", {}, new VirtualClock());
        expect(connected._unsafeUnwrapErr()).to.include({ kind: "unreachable", step: "connect", peer: "127.0.0.1:99999" });
    });

    it("never make a check throw, and what is passed on holds finite numbers only", () => {
        fc.assert(fc.property(fc.gen(), (random) => {
            const { checks } = createChecks();
            const results = [
                checks.news(replaceValues(news, random), "peer"), checks.report(replaceValues({ ...report, loads: [] }, random), "peer"),
                checks.follow(replaceValues({ member: self, ledgerUpTo: 1, targetsFrom: 0 }, random), "peer").unwrapOr(undefined),
                checks.trial(replaceValues({ content: "a", exact: "b", expectedMs: 20, deadlineLeftMs: 900 }, random), "peer").unwrapOr(undefined),
                checks.term(replaceValues({ kind: "term", term: 3, hostId: "h", runId: "r", peerAddress: "h:1" }, random), "peer").unwrapOr(undefined),
                checks.configuration(replaceValues({ offset: 1, config: { version: 1, routes: [], services: [], limits: {} } }, random), "peer")
                    .unwrapOr(undefined),
            ];
            expect(results.every(hasFiniteNumbers)).to.equal(true);
        }), { seed, numRuns: runCount, endOnFailure: true });
    });

    it("leave correct messages as they are", () => {
        const { checks, warnings } = createChecks();
        expect(checks.news(news, "peer")).to.deep.equal(news);
        expect(checks.report(report, "peer")).to.deep.include(report);
        expect(checks.report({ ...report, crashEvidence: news.crashEvidence } satisfies Partial<Record<keyof Report, unknown>>, "peer")?.crashEvidence)
            .to.deep.equal(news.crashEvidence);
        expect(checks.follow({ member: self, ledgerUpTo: 1 as Offset, targetsFrom: 0, members: { term: 3, version: 2 } }, "peer").isOk()).to.equal(true);
        expect(warnings).to.deep.equal([]);
    });
});
