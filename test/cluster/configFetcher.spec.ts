import { expect } from "chai";
import { err, ok } from "neverthrow";
import { createConfigFetcher } from "../../src/cluster/configFetcher.js";
import { createMessageChecks } from "../../src/cluster/messageChecks.js";
import type { PeerConnection } from "../../src/cluster/peerConnection.js";
import { failure } from "../../src/model/failure.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { VirtualClock } from "../support/virtualTime.js";

const replyAfterMs = 400;
const config: RoutingConfig = {
    version: 7, routes: [], services: [],
    limits: { maxHeaderBytes: 8_192, maxBodyBytes: 65_536, headerTimeoutMs: 1_000, idleTimeoutMs: 5_000 },
};

describe("a host to which many others state a newer configuration at the same time", () => {
    it("transfers it once, and asks the next one that states it if the first does not answer", async () => {
        const clock = new VirtualClock();
        const view = new ClusterView();
        const log = { info: () => undefined, warn: () => undefined, error: () => undefined };
        const fetcher = createConfigFetcher({ view, checks: createMessageChecks(log), log });
        let callCount = 0;
        const peer = {
            address: "10.0.0.2:7720",
            call: async () => {
                callCount += 1;
                const isLost = callCount === 1;
                await clock.sleep(replyAfterMs);
                return isLost ? err(failure("lost", "peer-call", "10.0.0.2:7720", "timed out")) : ok({ config, offset: 3 });
            },
        } as unknown as PeerConnection;
        for (const expectedCount of [1, 2]) {
            for (let count = 0; count < 100; count++) {
                void fetcher.fetchFrom(peer);
            }
            await clock.advance(replyAfterMs);
            expect(callCount).to.equal(expectedCount);
        }
        expect(view.config?.config.version).to.equal(7);
    });
});
