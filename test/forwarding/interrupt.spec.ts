import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { createInterrupt } from "../../src/forwarding/interrupt.js";

/** Returns the reason of the interrupt and the time after which it came. */
async function waitForInterrupt(terms: Parameters<typeof createInterrupt>[0]): Promise<{ reason: string; afterMs: number }> {
    const startedMs = performance.now();
    const interrupt = createInterrupt(terms);
    const reason = await interrupt.raised;
    interrupt.release();
    return { reason, afterMs: performance.now() - startedMs };
}

const allow = () => Promise.resolve(true);
const deny = () => Promise.resolve(false);

describe("interrupt of an attempt", () => {
    it("comes after the give-up time if the attempt may be given up then", async () => {
        const { reason, afterMs } = await waitForInterrupt(
            { clientLeft: undefined, timeoutMs: 500, giveUpPolicy: { afterMs: 30, mayGiveUp: allow } });
        expect(reason).to.equal("given-up");
        expect(afterMs).to.be.below(300);
    });

    it("comes only at the timeout if the attempt may not be given up, as on a host that is shutting down", async () => {
        const { reason, afterMs } = await waitForInterrupt(
            { clientLeft: undefined, timeoutMs: 120, giveUpPolicy: { afterMs: 10, mayGiveUp: deny } });
        expect(reason).to.equal("timed-out");
        expect(afterMs).to.be.above(100);
    });

    it("does not give the attempt up once that is ruled out, even if the permission arrives later", async () => {
        const interrupt = createInterrupt({
            clientLeft: undefined, timeoutMs: 120, giveUpPolicy: { afterMs: 10, mayGiveUp: () => sleep(30).then(() => true) },
        });
        setTimeout(() => {
            interrupt.preventGiveUp();
        }, 20);
        expect(await interrupt.raised).to.equal("timed-out");
        interrupt.release();
    });

    it("comes at once when the client leaves, or if it has already left", async () => {
        const clientLeft = new AbortController();
        setTimeout(() => {
            clientLeft.abort();
        }, 10);
        expect((await waitForInterrupt({ clientLeft: clientLeft.signal, timeoutMs: 500, giveUpPolicy: undefined })).reason)
            .to.equal("client-left");
        expect((await waitForInterrupt({ clientLeft: clientLeft.signal, timeoutMs: 500, giveUpPolicy: undefined })).reason)
            .to.equal("client-left");
    });

    // Guards against an attempt that goes on past its timeout, as long as each read is done at once (review/3).
    it("begins no further work once it has come, and ends the wait for work in progress", async () => {
        const interrupt = createInterrupt({ clientLeft: undefined, timeoutMs: 5_000, giveUpPolicy: undefined });
        expect(await interrupt.unlessRaised(() => Promise.resolve(1))).to.equal(1);
        const waiting = interrupt.unlessRaised(() => new Promise<number>(() => undefined));
        interrupt.losePath();
        let hasBegun = false;
        const late = await interrupt.unlessRaised(() => {
            hasBegun = true;
            return Promise.resolve(2);
        });
        expect([await waiting, late, hasBegun, await interrupt.raised]).to.deep.equal(["path-lost", "path-lost", false, "path-lost"]);
        interrupt.release();
    });
});
