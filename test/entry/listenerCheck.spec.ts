import { expect } from "chai";
import type { CheckConnectionEvents, ListenerCheck } from "../../src/entry/listenerCheck.js";
import { createListenerCheck } from "../../src/entry/listenerCheck.js";

/** The checks of a listener whose connections are fakes with the ports 1, 2, 3 and so on. */
class SimulatedChecks {
    readonly check: ListenerCheck;
    /** Ports of the connections that this host has closed as the one that opened, and as the one that accepted them. */
    readonly closed: { opened: number[]; accepted: number[] } = { opened: [], accepted: [] };
    nowMs = 0;
    private openedCount = 0;
    private events: CheckConnectionEvents | undefined;

    /** @param opensAtOnce false if connections are known to be open only once `open` is called */
    constructor(private readonly opensAtOnce = true) {
        this.check = createListenerCheck((events) => {
            this.openedCount += 1;
            const port = this.openedCount;
            this.events = events;
            return {
                close: () => {
                    this.closed.opened.push(port);
                },
            };
        }, { now: () => ({ monoMs: this.nowMs, wallMs: 0 }), sleep: () => Promise.resolve() });
    }

    open(): void {
        this.events?.onOpen({ ip: "10.0.0.1", port: this.openedCount });
    }

    failureAt(nowMs: number): string | undefined {
        this.nowMs = nowMs;
        const opened = this.openedCount;
        const failure = this.check.run(nowMs);
        if (this.opensAtOnce && this.openedCount > opened) {
            this.open();
        }
        return failure;
    }

    /** Returns whether the accepted connection was closed as that of a check. */
    acceptAt(nowMs: number, port: number, ip = "10.0.0.1"): boolean {
        this.nowMs = nowMs;
        const opened = this.openedCount;
        const closedBefore = this.closed.accepted.length;
        this.check.onAccepted({ peer: { ip, port }, atMs: nowMs, close: () => this.closed.accepted.push(port) });
        if (this.opensAtOnce && this.openedCount > opened) {
            this.open();
        }
        return this.closed.accepted.length > closedBefore;
    }

    fail(code: string): void {
        this.events?.onRefused(code);
    }

    lose(): void {
        this.events?.onLost();
    }
}

describe("check of the client listener", () => {
    it("finds nothing while its connections are accepted, and closes each", () => {
        const checks = new SimulatedChecks();
        expect(checks.failureAt(0)).to.equal(undefined);
        expect(checks.acceptAt(900, 1)).to.equal(true);
        expect(checks.failureAt(1_000)).to.equal(undefined);
        expect(checks.acceptAt(1_100, 2)).to.equal(true);
        expect(checks.closed).to.deep.equal({ opened: [1, 2], accepted: [1, 2] });
    });

    it("takes no connection of a client for its own", () => {
        const checks = new SimulatedChecks();
        checks.failureAt(0);
        expect([checks.acceptAt(10, 2), checks.acceptAt(10, 1, "10.0.0.2")]).to.deep.equal([false, false]);
        expect(checks.closed).to.deep.equal({ opened: [], accepted: [] });
    });

    // Guards against a ready host that says it isn't, since it took its check's connection for that of a client.
    it("knows its connection also if the listener accepts it, beside others, before it is known to be open", () => {
        const checks = new SimulatedChecks(false);
        checks.failureAt(0);
        expect([checks.acceptAt(10, 7, "10.0.0.2"), checks.acceptAt(10, 1)]).to.deep.equal([false, false]);
        checks.open();
        expect(checks.closed).to.deep.equal({ opened: [1], accepted: [1] });
        expect(checks.failureAt(1_000)).to.equal(undefined);
    });

    it("finds that connections are accepted late after 1 s, and no more once one is accepted in time", () => {
        const checks = new SimulatedChecks();
        checks.failureAt(0);
        expect([checks.failureAt(999), checks.failureAt(1_000)]).to.deep.equal([undefined, "connections are accepted late"]);
        expect(checks.acceptAt(1_500, 1)).to.equal(true);
        expect(checks.failureAt(1_600)).to.equal("connections are accepted late");
        expect(checks.acceptAt(1_700, 2)).to.equal(true);
        expect(checks.failureAt(1_800)).to.equal(undefined);
    });

    it("gives a connection up after 3 s and opens another one", () => {
        const checks = new SimulatedChecks();
        checks.failureAt(0);
        expect(checks.failureAt(3_000)).to.equal("connections are not accepted");
        expect(checks.closed.opened).to.deep.equal([1]);
        expect(checks.acceptAt(3_100, 2)).to.equal(true);
        expect(checks.failureAt(3_200)).to.equal(undefined);
    });

    it("names the error if no connection can be opened", () => {
        const checks = new SimulatedChecks();
        checks.failureAt(0);
        checks.fail("ECONNREFUSED");
        expect(checks.failureAt(1_000)).to.equal("no connection to the client listener: ECONNREFUSED");
        checks.acceptAt(1_010, 2);
        expect(checks.failureAt(2_000)).to.equal(undefined);
    });

    // Guards against a ready host that says it isn't, since something on the way has reset the check's connection and no other one.
    it("finds nothing if the connection of one check is lost", () => {
        const checks = new SimulatedChecks();
        checks.failureAt(0);
        checks.lose();
        expect(checks.failureAt(1_000)).to.equal(undefined);
        expect(checks.acceptAt(1_100, 2)).to.equal(true);
        checks.failureAt(2_000);
        checks.lose();
        expect(checks.failureAt(3_000)).to.equal(undefined);
    });

    it("finds that connections are closed before they are accepted if those of two checks in a row are lost", () => {
        const checks = new SimulatedChecks();
        checks.failureAt(0);
        checks.lose();
        checks.failureAt(1_000);
        checks.lose();
        expect(checks.failureAt(2_000)).to.equal("connections are closed before they are accepted");
        expect(checks.acceptAt(2_100, 3)).to.equal(true);
        expect(checks.failureAt(3_000)).to.equal(undefined);
    });

    it("opens no connection once it is stopped", () => {
        const checks = new SimulatedChecks();
        checks.failureAt(0);
        checks.check.stop();
        expect([checks.failureAt(5_000), checks.closed.opened]).to.deep.equal([undefined, [1]]);
    });
});
