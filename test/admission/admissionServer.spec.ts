import { expect } from "chai";
import { HostPair } from "./hostPair.js";

describe("admission server", () => {
    it("withdraws only requests that wait or hold a slot when a connection closes, none that were refused", async () => {
        const pair = new HostPair();
        expect((await pair.enter()).kind).to.equal("granted");
        for (let count = 0; count < 50; count++) {
            expect(await pair.enter(60)).to.include({ kind: "refused" });
        }
        const usesBefore = pair.queueUseCount;
        await pair.reconnect();
        expect(pair.queueUseCount - usesBefore).to.equal(1);
        expect((await pair.enter()).kind, "the slot is free again").to.equal("granted");
    });
});
