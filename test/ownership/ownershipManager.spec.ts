import { expect } from "chai";
import { err, ok } from "neverthrow";
import { failure } from "../../src/model/failure.js";
import type { Address, DataCentreId, Key, KeyRange, Offset, ServiceId, TargetId, Term } from "../../src/model/names.js";
import { maxKey } from "../../src/model/names.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import type { TargetEntry } from "../../src/model/target.js";
import { FenceCounter } from "../../src/ownership/fences.js";
import { defaultHoldMs } from "../../src/ownership/leaseTerms.js";
import { ownershipKeyOf } from "../../src/ownership/ledgerRecords.js";
import type { LeaseSession } from "../../src/ownership/leasePort.js";
import type { LedgerWriter } from "../../src/ownership/ledgerWriter.js";
import { draftOwnerships } from "../../src/ownership/ownershipDraft.js";
import { createOwnershipManager } from "../../src/ownership/ownershipManager.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { VirtualClock } from "../support/virtualTime.js";

const service = "s" as ServiceId;
const allKeys: KeyRange = { from: 0 as Key, to: maxKey as Key };

function entry(name: string, state: TargetEntry["state"]): TargetEntry {
    return {
        targetId: name as TargetId, serviceId: service, address: `${name}:1` as Address, dataCentreId: "a" as DataCentreId,
        slots: 3, state, bornWallMs: 1, sequence: 1, warmingUp: false,
    };
}

/**
 * Starts a manager with two targets: `old`, which is leaving and owns all keys, and `new`. The first releases fail, either at once as on
 * an overloaded target that resets connections, or after a time. Instead, no target may own the keys, or a record may be unreadable.
 */
function setUp(failingReleases: number, failAfterMs = 1, owner: "old" | "unreadable" | "none" = "old") {
    const clock = new VirtualClock();
    const view = new ClusterView();
    const config = { services: [{ serviceId: service, sharded: true }], routes: [] } as unknown as RoutingConfig;
    view.applyConfig(config, 0 as Offset, 1 as Offset);
    if (owner === "old") {
        view.applyLedger([{
            offset: 0 as Offset, key: ownershipKeyOf("old" as TargetId),
            record: { kind: "ownership", targetId: "old" as TargetId, serviceId: service, address: "old:1" as Address, ranges: [allKeys] },
        }], 0 as Offset, 1 as Offset);
    }
    if (owner === "unreadable") {
        view.ledger.markUnreadable(ownershipKeyOf("old" as TargetId), 0 as Offset);
    }
    view.applyTargets([
        { targetId: "old" as TargetId, offset: 0 as Offset, entry: entry("old", "draining") },
        { targetId: "new" as TargetId, offset: 1 as Offset, entry: entry("new", "ready") },
    ], 2 as Offset, 0);
    const released: string[] = [];
    const session: LeaseSession = {
        isOpen: true, isLeaving: false, requestsPerSecond: undefined, closed: new Promise(() => undefined), reset: () => undefined,
        grant: async () => {
            await clock.sleep(1);
            return ok("granted" as const);
        },
        release: async ({ from, to }) => {
            released.push(`${String(from)}-${String(to)}`);
            const isFailing = released.length <= failingReleases;
            await clock.sleep(isFailing ? failAfterMs : 1);
            return isFailing ? err(failure("lost", "release", "old", "reset by the target")) : ok("token");
        },
    };
    const writer: LedgerWriter = {
        assign: (assignments) => {
            const upTo = view.ledger.upTo;
            const changes = draftOwnerships(view.ledger, assignments).map((draft, index) => ({ ...draft, offset: upTo + index as Offset }));
            view.applyLedger(changes, upTo, upTo + changes.length as Offset);
            return Promise.resolve(ok(undefined));
        },
        record: () => Promise.resolve(ok(undefined)),
        isStoreResponding: () => true,
    };
    const manager = createOwnershipManager({
        view, clock, writer, fences: new FenceCounter(1 as Term), leases: { open: () => Promise.resolve(ok(session)) },
        log: { info: () => undefined, warn: () => undefined, error: () => undefined },
        mayGrant: () => true, mayUseNewFences: () => true, mayBalance: () => true, holdMs: () => defaultHoldMs, maxHoldMs: 10_000,
        predecessor: { actsUntilMs: 0, grantsUntilMs: 12_000 },
        onOutdated: () => undefined, onMove: () => undefined,
    });
    const stop = new AbortController();
    void manager.run(stop.signal, stop.signal);
    const ownerOf = () => view.ledger.ownerships().find(({ ranges }) => ranges.length > 0)?.targetId;
    return { clock, ownerOf, released, end: () => {
        stop.abort();
    } };
}

describe("move of a leaving target's keys", () => {
    it("is retried when the target resets the connection, instead of waiting until every lease has expired", async () => {
        const { clock, ownerOf, end } = setUp(3);
        await clock.advance(1_500);
        expect(ownerOf()).to.equal("new");
        end();
    });

    it("is not retried when the target's work in progress has not ended in time, since each attempt would extend its lease", async () => {
        const { clock, released, end } = setUp(1_000, 2_300);
        await clock.advance(8_000);
        expect(released).to.not.have.length(0);
        expect(new Set(released).size).to.equal(released.length);
        end();
    });

    it("takes place after the leases have expired when the target never releases the keys", async () => {
        const { clock, ownerOf, end } = setUp(1_000);
        await clock.advance(8_000);
        expect(ownerOf()).to.equal("old");
        await clock.advance(8_000);
        expect(ownerOf()).to.equal("new");
        end();
    });
});

describe("assignment of keys without a known owner", () => {
    it("waits until leases of earlier coordinators have ended if a record of ownership can't be read", async () => {
        const { clock, ownerOf, end } = setUp(0, 1, "unreadable");
        await clock.advance(11_000);
        expect(ownerOf()).to.equal(undefined);
        await clock.advance(4_000);
        expect(ownerOf()).to.equal("new");
        end();
    });

    it("does not wait if no target has owned them", async () => {
        const { clock, ownerOf, end } = setUp(0, 1, "none");
        await clock.advance(4_000);
        expect(ownerOf()).to.equal("new");
        end();
    });
});
