import { expect } from "chai";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import type { ClientCall } from "../../src/entry/clientCall.js";
import { ClientWaitEstimator } from "../../src/forwarding/clientWaitEstimator.js";
import type { PreparedRequest } from "../../src/forwarding/requestPreparation.js";
import { prepareRequest } from "../../src/forwarding/requestPreparation.js";
import { WorkTimes } from "../../src/forwarding/workTimes.js";
import type { Key, Offset, RequestId, RouteId, ServiceId } from "../../src/model/names.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import { Splitter } from "../../src/routing/splitter.js";
import { ClusterView } from "../../src/store/clusterView.js";

const keyed = "keyed" as ServiceId;
const plain = "plain" as ServiceId;

const config: RoutingConfig = {
    version: 1,
    routes: [["/keyed/", [keyed]], ["/plain/", [plain]], ["/split/", [keyed, plain]]].map(([pathPrefix, serviceIds]) => ({
        routeId: pathPrefix as RouteId, hostName: "h", pathPrefix: pathPrefix as string, idempotent: true, timeoutMs: 2_500,
        targetLatencyMs: 100, priority: 1, maxAttempts: 2,
        backends: (serviceIds as ServiceId[]).map((serviceId) => ({ serviceId, weight: serviceId === keyed ? 3 : 1 })),
    })),
    services: [keyed, plain].map((serviceId) => ({
        serviceId, healthPath: "/", maxConnections: 10, sharded: serviceId === keyed, warmUpMs: 0,
    })),
    limits: { maxHeaderBytes: 10_000, maxBodyBytes: 10_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
};

interface CallTerms {
    path: string;
    key?: number;
    bodyBytes?: number;
}

function createCall({ path, key, bodyBytes = 0 }: CallTerms): ClientCall {
    return {
        requestId: "r-1" as RequestId, method: "GET", path, hostName: "h", key: key as Key | undefined,
        budgetMs: 2_000, receivedAt: createSystemClock().now(), forwardHeaders: [],
        body: {
            collect: () => Promise.resolve(Buffer.alloc(bodyBytes)), next: () => Promise.resolve(undefined),
            declaredBytes: bodyBytes, start: Buffer.alloc(0),
        },
        clientLeft: new AbortController().signal,
        refuse: () => undefined, answer: () => undefined,
        awaitTurn: () => Promise.resolve(), beginAnswer: () => undefined, writeAnswer: () => Promise.resolve(),
        finishAnswer: () => undefined, abortAnswer: () => undefined,
    };
}

describe("preparation of a request", () => {
    let splitter: Splitter;

    beforeEach(() => {
        splitter = new Splitter(() => 0);
    });

    async function prepare(terms: CallTerms, configAgeMs: number): Promise<PreparedRequest> {
        const view = new ClusterView();
        view.applyConfig(config, 1 as Offset, 1 as Offset);
        return prepareRequest(
            { view, splitter, clientWaits: new ClientWaitEstimator(), workTimes: new WorkTimes(), attemptHeaders: new Set() },
            createCall(terms), configAgeMs);
    }

    async function refusalOf(terms: CallTerms, configAgeMs: number): Promise<string | undefined> {
        const prepared = await prepare(terms, configAgeMs);
        return prepared.kind === "refused" ? prepared.refusal.reason : undefined;
    }

    const denied: { terms: CallTerms; reason: string }[] = [
        { terms: { path: "/none/x" }, reason: "no-route" },
        { terms: { path: "/keyed/x" }, reason: "no-key" },
        { terms: { path: "/plain/x", bodyBytes: 20_000 }, reason: "body-too-large" },
    ];
    for (const { terms, reason } of denied) {
        it(`blames a request by a configuration that is confirmed: ${reason}`, async () => {
            expect(await refusalOf(terms, 1_500)).to.equal(reason);
        });

        it(`does not blame a request by a configuration that may have been replaced: ${reason}`, async () => {
            for (const ageMs of [2_500, 60_000, Number.POSITIVE_INFINITY]) {
                const prepared = await prepare(terms, ageMs);
                expect(prepared).to.deep.include({ kind: "refused" });
                const { refusal } = prepared as Extract<PreparedRequest, { kind: "refused" }>;
                expect(refusal.reason).to.equal("config-unconfirmed");
                expect(refusal.retryAfterMs).to.be.within(1, 2_000);
            }
        });
    }

    it("forwards what the configuration allows, however old it is", async () => {
        for (const terms of [{ path: "/keyed/x", key: 1 }, { path: "/plain/x" }, { path: "/split/x", key: 1 }]) {
            expect((await prepare(terms, Number.POSITIVE_INFINITY)).kind).to.equal("request");
        }
    });

    it("sends a request without a key to the part of a split route that needs none, and others by weight", async () => {
        const keylessServices = new Set<string>();
        const countByService = new Map<ServiceId, number>();
        for (let count = 0; count < 400; count++) {
            const keyless = await prepare({ path: "/split/x" }, 0);
            keylessServices.add(keyless.kind === "request" ? keyless.context.service.serviceId : keyless.refusal.reason);
            const withKey = await prepare({ path: "/split/x", key: 1 }, 0);
            if (withKey.kind === "request") {
                const { serviceId } = withKey.context.service;
                countByService.set(serviceId, (countByService.get(serviceId) ?? 0) + 1);
            }
        }
        expect([...keylessServices]).to.deep.equal([plain]);
        expect(countByService.get(keyed)).to.be.closeTo(300, 2);
        expect(countByService.get(plain)).to.be.closeTo(100, 2);
    });
});
