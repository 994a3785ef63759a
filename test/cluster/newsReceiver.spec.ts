import { expect } from "chai";
import { err, ok } from "neverthrow";
import { ConfigAge } from "../../src/cluster/configAge.js";
import { createConfigFetcher } from "../../src/cluster/configFetcher.js";
import type { Member } from "../../src/cluster/membership.js";
import { Membership } from "../../src/cluster/membership.js";
import { createMessageChecks } from "../../src/cluster/messageChecks.js";
import type { News } from "../../src/cluster/messages.js";
import { createNewsReceiver } from "../../src/cluster/newsReceiver.js";
import type { PeerConnection } from "../../src/cluster/peerConnection.js";
import { CrashEvidence } from "../../src/crashes/crashEvidence.js";
import { failure } from "../../src/model/failure.js";
import type { Offset, Term } from "../../src/model/names.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import { OwnerLookup } from "../../src/ownership/ownerLookup.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { silentLog } from "../support/silentLog.js";
import { VirtualClock } from "../support/virtualTime.js";

/** Time after which a call to the store fails here. */
const storeTimeoutMs = 1_200;

const config: RoutingConfig = {
    version: 7, routes: [], services: [],
    limits: { maxHeaderBytes: 8_192, maxBodyBytes: 65_536, headerTimeoutMs: 1_000, idleTimeoutMs: 5_000 },
};
const news = {
    term: 1, storeAgeMs: 20, configAgeMs: 20, configOffset: 12, configVersion: 7, targetsUpTo: -1, targetsDigest: 0, ledgerUpTo: 0,
    membersVersion: 0,
} as unknown as News;

/** A host with a configuration at an offset, which the store does not answer, and the coordinator that sends it updates. */
function createReceiver(knownVersion: number, offset: number) {
    const clock = new VirtualClock();
    const view = new ClusterView();
    view.applyConfig({ ...config, version: knownVersion }, offset as Offset, 13 as Offset);
    const log = { info: () => undefined, warn: () => undefined, error: () => undefined };
    const checks = createMessageChecks(log);
    const configAge = new ConfigAge();
    configAge.recordJoined();
    let readCount = 0;
    const receiver = createNewsReceiver({
        log: silentLog,
        view, clock, checks, membership: new Membership({ hostId: "h1" } as Member), owners: new OwnerLookup(view, 2_000),
        crashEvidence: new CrashEvidence(), configAge, configFetcher: createConfigFetcher({ view, checks, log }),
        latestTerm: () => 1 as Term,
        reader: { read: async () => {
            readCount += 1;
            await clock.sleep(storeTimeoutMs);
            return err(failure("lost", "store-read", "store", "no answer in time"));
        } },
    });
    const connection = {
        address: "10.0.0.2:7720", call: (method: string) => method === "configuration"
            ? Promise.resolve(ok({ config, offset: 12 }))
            : new Promise(() => undefined),
    } as unknown as PeerConnection;
    const receiveForMs = async (durationMs: number, received = news) => {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
            receiver.apply(received, connection);
            await clock.advance(100);
        }
    };
    return { clock, view, configAge, receiver, connection, receiveForMs, readCount: () => readCount };
}

describe("a host that hears of a configuration while the store does not answer it", () => {
    // It waited for the store's timeout before it asked the coordinator, half of the time within which a configuration must be in force.
    it("gets it from the coordinator without waiting for the store's timeout", async () => {
        const { view, receiveForMs } = createReceiver(6, 11);
        await receiveForMs(500);
        expect(view.config).to.deep.include({ config, offset: 12 });
    });

    for (const { name, version } of [{ name: "of a newer version", version: 6 }, { name: "of the same version, written again", version: 7 }]) {
        it(`asks the store once, and then gets it from the coordinator: ${name}`, async () => {
            const { view, receiveForMs, readCount } = createReceiver(version, 11);
            await receiveForMs(5_000);
            expect(view.config).to.deep.include({ config, offset: 12 });
            expect(readCount()).to.equal(1);
        });
    }
});

describe("a host that heard of a configuration from a coordinator of an earlier version of the router, which states no versions", () => {
    it("does not miss it any more once it has the configuration, also if that coordinator has gone", async () => {
        const { clock, view, configAge, receiveForMs } = createReceiver(6, 11);
        await receiveForMs(100, { ...news, configVersion: undefined } as unknown as News);
        expect(configAge.ageMs(view.platformConfigVersion, clock.now().monoMs)).to.equal(Number.POSITIVE_INFINITY);
        view.applyConfig(config, 12 as Offset, 13 as Offset);
        configAge.confirm(clock.now().monoMs);
        expect(configAge.ageMs(view.platformConfigVersion, clock.now().monoMs)).to.equal(0);
    });
});

describe("the ledger of a host that follows a coordinator", () => {
    it("is confirmed by what the coordinator states, not by the beginning of following, and not while records are missing", async () => {
        const { clock, receiver, connection } = createReceiver(7, 12);
        await clock.advance(20_000);
        const nowMs = clock.now().monoMs;
        receiver.assumeConfirmedNow();
        receiver.apply({ ...news, storeAgeMs: 9_000 }, connection, nowMs);
        expect(receiver.ledgerConfirmedAtMs).to.equal(nowMs - 9_000);
        receiver.apply({ ...news, sentAtMs: nowMs - 5_000 }, connection);
        expect(receiver.ledgerConfirmedAtMs).to.equal(nowMs - 5_020);
        receiver.apply({ ...news, ledgerUpTo: 3 as Offset, sentAtMs: nowMs }, connection);
        expect(receiver.ledgerConfirmedAtMs).to.equal(nowMs - 5_020);
    });
});

describe("the knowledge of a host that follows a coordinator", () => {
    // It counted from an update's arrival, so that a host that read its updates seconds late did not read the store itself.
    it("is as old as an update that was on its way, or unread at this host, for long", async () => {
        const { clock, receiver, connection } = createReceiver(7, 12);
        await clock.advance(20_000);
        const nowMs = clock.now().monoMs;
        receiver.apply({ ...news, sentAtMs: nowMs - 3_000 }, connection);
        expect(receiver.confirmedAtMs).to.equal(nowMs - 3_020);
    });

    it("counts from the arrival of an update that doesn't state when it was sent, as that of an earlier version", async () => {
        const { clock, receiver, connection } = createReceiver(7, 12);
        await clock.advance(20_000);
        receiver.apply(news, connection);
        expect(receiver.confirmedAtMs).to.equal(clock.now().monoMs - 20);
    });
});
