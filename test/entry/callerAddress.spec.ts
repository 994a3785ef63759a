import http from "node:http";
import { expect } from "chai";
import { platformClientDialect } from "../../platform/dialect.js";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import { createClientHttp } from "../../src/entry/clientHttp.js";
import { freePort } from "./listenerClient.js";
import { holdingLimits, ignoredEvents } from "./listenerUnderTest.js";

describe("address of a caller", () => {
    it("is that of its connection without the port, so that two connections of one client are one caller", async () => {
        const addresses: (string | undefined)[] = [];
        const clients = createClientHttp({
            dialects: [platformClientDialect], clock: createSystemClock(), areLimitsConfirmed: () => true, holdingLimits,
            ...ignoredEvents, onDenied: () => undefined, onUnexpectedError: () => undefined,
            serve: (call) => {
                addresses.push(call.callerAddress);
                call.refuse({ reason: "no-target", retryAfterMs: 10 });
                return Promise.resolve();
            },
        });
        const port = await freePort();
        (await clients.listen(`127.0.0.1:${String(port)}`, 0))._unsafeUnwrap();
        for (const localAddress of ["127.0.0.1", "127.0.0.1", "127.0.0.2"]) {
            await new Promise((resolve, reject) => {
                http.get({ host: "127.0.0.1", port, localAddress, agent: false, headers: { "x-forwarded-for": "10.9.9.9" } }, (response) => {
                    response.resume().once("end", resolve);
                }).once("error", reject);
            });
        }
        clients.close();
        expect(addresses).to.deep.equal(["127.0.0.1", "127.0.0.1", "127.0.0.2"]);
    });
});
