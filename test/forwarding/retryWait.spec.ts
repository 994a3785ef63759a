import { expect } from "chai";
import type { AttemptEnd } from "../../src/forwarding/attemptEnds.js";
import { createRetryWait } from "../../src/forwarding/retryWait.js";
import type { Key, ServiceId, TargetId } from "../../src/model/names.js";
import { Signal } from "../../src/model/signal.js";
import type { OwnerStatus } from "../../src/ownership/ownerLookup.js";
import { VirtualClock } from "../support/virtualTime.js";

const owner = "t-1" as TargetId;
const notOwned: AttemptEnd = { kind: "turned-away", status: 421 };
const full: AttemptEnd = { kind: "turned-away", status: 503 };

/** A request for a key that its owner has just rejected. */
function setUp(end: AttemptEnd, attemptCount: number, key: Key | undefined = 7 as Key) {
    const clock = new VirtualClock();
    const changed = new Signal();
    const lookup: { status: OwnerStatus } = { status: { kind: "owned", targetId: owner } };
    const client = new AbortController();
    const wait = createRetryWait({ clock, owners: { changed, find: () => lookup.status } });
    let waitedMs: number | undefined;
    const startedMs = clock.now().monoMs;
    const request = { key, serviceId: "main" as ServiceId, attemptCount, clientLeft: client.signal };
    void wait(request, owner, end).then(() => {
        waitedMs = clock.now().monoMs - startedMs;
    });
    return { clock, changed, lookup, client, waitedMs: () => waitedMs };
}

describe("the wait before a request is sent again", () => {
    // A request was sent to the same target three times within 80 ms, though nothing new was learned of its key's owner.
    it("grows while nothing is learned of the owner that rejected it for not holding its key", async () => {
        const waits = [];
        for (const attemptCount of [1, 2, 3]) {
            const { clock, waitedMs } = setUp(notOwned, attemptCount);
            await clock.advance(2_000);
            waits.push(waitedMs());
        }
        expect(waits).to.deep.equal([50, 150, 450]);
    });

    it("ends when another target owns the key, and not by a notice that leaves the owner as it is", async () => {
        const { clock, changed, lookup, waitedMs } = setUp(notOwned, 3);
        await clock.advance(40);
        changed.fire();
        await clock.advance(40);
        expect(waitedMs()).to.equal(undefined);
        lookup.status = { kind: "owned", targetId: "t-2" as TargetId };
        changed.fire();
        await clock.advance(1);
        expect(waitedMs()).to.be.within(80, 82);
    });

    it("ends when the client leaves", async () => {
        const { clock, client, waitedMs } = setUp(notOwned, 3);
        await clock.advance(20);
        client.abort();
        await clock.advance(1);
        expect(waitedMs()).to.be.within(20, 22);
    });

    it("is short after any other end, and for a request without a key", async () => {
        for (const { clock, waitedMs } of [setUp(full, 3), setUp({ kind: "lost", why: "reset" }, 2)]) {
            await clock.advance(2_000);
            expect(waitedMs()).to.equal(15);
        }
    });
});
