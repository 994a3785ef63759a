import net from "node:net";
import { expect } from "chai";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import { listen } from "../../src/adapters/listening.js";

describe("listening", () => {
    it("does not try again what cannot succeed: an address of another machine, a port that is none", async () => {
        for (const address of ["192.0.2.1:8080", "127.0.0.1:99999"]) {
            const outcome = listen(net.createServer(), address, createSystemClock(), Number.POSITIVE_INFINITY);
            expect((await outcome)._unsafeUnwrapErr()).to.include({ step: "listen", peer: address });
        }
    });
});
