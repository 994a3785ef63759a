import { expect } from "chai";
import fc from "fast-check";
import { v7 as newOrderedUuid } from "uuid";
import type { OrderId, Shard } from "../../src/model/ids.js";
import { orderCreatedWallMs } from "../../src/model/ids.js";
import { notRun } from "../../src/model/work.js";
import { OrderBook } from "../../src/orders/orderBook.js";

const shard = 3 as Shard;
const wallMs = 1_800_000_000_000;
const limits = { windowMs: 10_000, maxOrders: 3, aheadMarginMs: 100, hostSkewMs: 50 };
const idAt = (msecs: number) => newOrderedUuid({ msecs }) as OrderId;
const at = (atWallMs: number) => ({ monoMs: 0, wallMs: atWallMs });
const done = { outcome: "done", status: 200, body: "{}", server: "s" as never } as const;

function createBook(): OrderBook {
    const book = new OrderBook(() => limits);
    book.raiseHorizon(shard, wallMs - 1_000);
    return book;
}

describe("OrderBook", () => {
    it("reads back the time that any UUIDv7 carries", () => {
        fc.assert(fc.property(fc.integer({ min: 0, max: 2 ** 48 - 1 }), (msecs) => orderCreatedWallMs(idAt(msecs)) === msecs), { seed: 1 });
    });

    it("sends an id once, and answers it from then on, also after not-run", () => {
        for (const outcome of [done, notRun("queue-full", 5)]) {
            const book = createBook();
            const id = idAt(wallMs);
            expect(book.admit(id, shard, at(wallMs)).kind).to.equal("send");
            book.begin(id, Promise.resolve(outcome));
            expect(book.admit(id, shard, at(wallMs)).kind).to.equal("await");
            book.settle(id, outcome);
            expect(book.admit(id, shard, at(wallMs))).to.deep.equal({ kind: "answer", outcome });
        }
    });

    it("answers unknown for ids from before the horizon, the window, and before any horizon is known", () => {
        const outcomes = [
            createBook().admit(idAt(wallMs - 1_001), shard, at(wallMs)),
            createBook().admit(idAt(wallMs - 1_000 + 149), shard, at(wallMs)),
            createBook().admit(idAt(wallMs), shard, at(wallMs + 10_001)),
            createBook().admit(idAt(wallMs), 4 as Shard, at(wallMs)),
        ];
        for (const admission of outcomes) {
            expect(admission).to.have.nested.property("outcome.outcome", "unknown");
        }
    });

    it("refuses an id ahead of the clock as not run, with the time to come back", () => {
        const admission = createBook().admit(idAt(wallMs + 500), shard, at(wallMs));
        expect(admission).to.deep.equal({ kind: "answer", outcome: notRun("id-ahead", 500) });
    });

    it("is bounded: past the bound the oldest settled id is forgotten and refused by age", () => {
        const book = createBook();
        const ids = [0, 1, 2, 3].map((age) => idAt(wallMs + age));
        for (const id of ids) {
            expect(book.admit(id, shard, at(wallMs)).kind).to.equal("send");
            book.begin(id, Promise.resolve(done));
            book.settle(id, done);
        }
        expect(book.size).to.equal(limits.maxOrders);
        expect(book.admit(ids[0] as OrderId, shard, at(wallMs))).to.have.nested.property("outcome.outcome", "unknown");
    });

    it("refuses at once when everything remembered is in flight", () => {
        const book = createBook();
        for (const age of [0, 1, 2]) {
            book.begin(idAt(wallMs + age), new Promise(() => undefined));
        }
        expect(book.admit(idAt(wallMs + 4), shard, at(wallMs))).to.have.nested.property("outcome.reason", "window-full");
    });

    it("does not admit a forgotten id again when the wall clock is set back", () => {
        const book = createBook();
        const id = idAt(wallMs);
        book.begin(id, Promise.resolve(done));
        book.settle(id, done);
        book.forgetExpired(at(wallMs + 20_000));
        expect(book.size).to.equal(0);
        expect(book.admit(id, shard, at(wallMs))).to.have.nested.property("outcome.outcome", "unknown");
    });

    it("passes ids, outcomes and horizons on; what is in flight counts as unknown there", () => {
        const before = createBook();
        const [settled, open] = [idAt(wallMs), idAt(wallMs + 1)];
        before.begin(settled, Promise.resolve(done));
        before.settle(settled, done);
        before.begin(open, new Promise(() => undefined));
        const after = new OrderBook(() => limits);
        after.adopt(before.copy());
        expect(after.admit(settled, shard, at(wallMs))).to.deep.equal({ kind: "answer", outcome: done });
        expect(after.admit(open, shard, at(wallMs))).to.have.nested.property("outcome.outcome", "unknown");
        expect(after.admit(idAt(wallMs - 500), shard, at(wallMs)).kind).to.equal("send");
    });
});
