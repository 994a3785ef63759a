import { expect } from "chai";
import type { CloseReason, ConnectionProgress } from "../../src/entry/clientAccount.js";
import { ClientAccount } from "../../src/entry/clientAccount.js";

const limits = { maxBytes: 1_000_000, maxConnections: 3, maxPipelined: 2, minBytesPerSecond: 100, stallMs: 1_000 };

/** Checks every 500 ms how a client does that progresses at a rate; returns when and why its connection is closed. */
function closedAfter(state: Partial<ConnectionProgress>, bytesPerMs: number): { atMs: number; reason: CloseReason } | undefined {
    const account = new ClientAccount<string>(limits);
    account.open("c", 0);
    for (let atMs = 0; atMs <= 20_000; atMs += 500) {
        const [closed] = account.check(atMs, () => ({ duty: "body", isPaused: false, ...state, progressBytes: atMs * bytesPerMs }));
        if (closed !== undefined) {
            return { atMs, reason: closed.reason };
        }
    }
    return undefined;
}

describe("account of what clients hold", () => {
    let account: ClientAccount<string>;

    beforeEach(() => {
        account = new ClientAccount(limits);
    });

    it("ends what makes no progress at its time, and nothing else", () => {
        expect(closedAfter({}, 0)).to.deep.equal({ atMs: 1_000, reason: "body-stalled" });
        expect(closedAfter({}, 0.09)?.reason).to.equal("body-stalled");
        expect(closedAfter({}, 0.11)).to.equal(undefined);
        expect(closedAfter({ isPaused: true }, 0), "the host does not read").to.equal(undefined);
        expect(closedAfter({ duty: "response" }, 0)).to.deep.equal({ atMs: 3_000, reason: "response-stalled" });
        expect(closedAfter({ duty: "response" }, 0.01)).to.equal(undefined);
        expect(closedAfter({ duty: "close" }, 0)).to.deep.equal({ atMs: 1_000, reason: "not-closed" });
        expect(closedAfter({ duty: "none" }, 0)).to.equal(undefined);
    });

    // Guards against a client that is never judged, since windows as short as the time between checks are always found too long.
    it("judges a body that makes no progress if a check comes just too early, and the next one just too late", () => {
        const account = new ClientAccount<string>({ ...limits, stallMs: 500 });
        account.open("c", 0);
        account.beginRequest("c");
        const closed = [0, 499, 1_001, 1_500].map((nowMs) =>
            account.check(nowMs, () => ({ duty: "body", progressBytes: 1, isPaused: false })).map(({ reason }) => reason));
        expect(closed.flat()).to.include("body-stalled");
    });

    // Guards against clients that are blamed for a clock that steps, or for a host that was stopped.
    it("judges nobody after a clock that stepped", () => {
        account.open("c", 0);
        const stateOf = (): ConnectionProgress => ({ duty: "body", progressBytes: 0, isPaused: false });
        account.check(0, stateOf);
        expect(account.check(1e9, stateOf)).to.deep.equal([]);
        expect(account.check(-1e9, stateOf)).to.deep.equal([]);
    });

    it("lets few requests of a connection be parsed, and always one", () => {
        const holdings = account.open("c", 0);
        expect(account.mayParse(holdings, 1e9)).to.equal(true);
        account.beginRequest("c");
        expect(account.mayParse(holdings, 0)).to.equal(true);
        expect(account.mayParse(holdings, 70_000), "unread response").to.equal(false);
        account.beginRequest("c");
        expect(account.mayParse(holdings, 0)).to.equal(false);
        account.endRequest("c");
        expect(account.mayParse(holdings, 0)).to.equal(true);
        account.add("c", 600_000);
        expect(account.mayParse(holdings, 0), "holds more than its share").to.equal(false);
    });

    it("refuses those that hold much first, then all, until less is held", () => {
        const large = account.open("large", 0);
        const small = account.open("small", 0);
        account.add("large", 760_000);
        const refused = [account.refuses(large, false), account.refuses(small, true), account.refuses(small, false)];
        expect(refused).to.deep.equal([true, true, false]);
        account.add("large", 150_000);
        expect(account.refuses(small, false)).to.equal(true);
        account.add("large", -250_000);
        expect([account.refuses(large, false), account.refuses(small, false)], "between the shares").to.deep.equal([true, false]);
        account.add("large", -100_000);
        expect(account.refuses(large, false)).to.equal(false);
    });

    it("closes those that hold most and progress least, as few as suffice", () => {
        const bytesByConnection = { slow: 400_000, fast: 450_000, small: 80_000 };
        for (const connection of Object.keys(bytesByConnection)) {
            account.open(connection, 0);
        }
        account.check(0, () => ({ duty: "body", progressBytes: 0, isPaused: false }));
        for (const [connection, bytes] of Object.entries(bytesByConnection)) {
            account.add(connection, bytes);
        }
        const stateOf = (connection: string): ConnectionProgress =>
            ({ duty: "body", progressBytes: connection === "fast" ? 1_000_000 : 60, isPaused: false });
        expect(account.check(500, stateOf)).to.deep.equal([{ connection: "slow", reason: "memory" }]);
        account.close("slow");
        expect(account.check(600, stateOf)).to.deep.equal([]);
    });

    // Guards against closing callers that only wait for their response, before clients whose bodies do not move.
    it("closes those that owe nothing only after those that do", () => {
        for (const connection of ["waiting", "sending"]) {
            account.open(connection, 0);
        }
        const stateOf = (connection: string): ConnectionProgress => connection === "waiting"
            ? { duty: "none", progressBytes: 0, isPaused: false }
            : { duty: "body", progressBytes: 50, isPaused: false };
        account.check(0, stateOf);
        account.add("waiting", 500_000);
        account.add("sending", 450_000);
        expect(account.check(500, stateOf)).to.deep.equal([{ connection: "sending", reason: "memory" }]);
    });

    it("closes the connection that was unused for the longest if there are too many, and forgets what is closed", () => {
        for (const connection of ["a", "b", "c", "d"]) {
            account.open(connection, 0);
            account.beginRequest(connection);
            account.add(connection, 100);
        }
        expect(account.connectionBeyondLimit(), "all are in use").to.equal("d");
        account.endRequest("b");
        expect(account.connectionBeyondLimit()).to.equal("b");
        for (const connection of ["a", "b", "c", "d"]) {
            account.close(connection);
            account.add(connection, 100);
            account.endRequest(connection);
        }
        expect([account.connectionBeyondLimit(), account.heldBytes, account.connectionCount]).to.deep.equal([undefined, 0, 0]);
    });

    it("ignores absurd counts", () => {
        account.open("c", 0);
        const before = account.heldBytes;
        for (const bytes of [Number.NaN, Number.POSITIVE_INFINITY, -5]) {
            account.add("c", bytes);
        }
        account.endRequest("c");
        expect(account.heldBytes).to.equal(before);
    });
});
