import { expect } from "chai";
import { ConfigAge } from "../../src/cluster/configAge.js";
import { createStateAges } from "../../src/cluster/stateAges.js";
import type { Offset } from "../../src/model/names.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { VirtualClock } from "../support/virtualTime.js";

const document = { version: 3, routes: [], services: [] } as unknown as RoutingConfig;

/** Ages of a host of which the configuration topic was confirmed 0.1 s ago, and the ledger longer ago. */
function createAges(ledgerAgeMs: number) {
    const clock = new VirtualClock();
    const nowMs = clock.now().monoMs;
    const view = new ClusterView();
    view.applyConfig(undefined, 0 as Offset, 0 as Offset);
    const configAge = new ConfigAge();
    configAge.recordJoined();
    configAge.confirm(nowMs - 100);
    const ages = createStateAges({
        view, configAge, clock, coordinator: () => undefined,
        directReader: { lastReadAtMs: nowMs - ledgerAgeMs },
        newsReceiver: { confirmedAtMs: nowMs, ledgerConfirmedAtMs: nowMs - ledgerAgeMs },
    });
    return { view, ageMs: () => ages.configAgeMs(nowMs) };
}

describe("age of the configuration document", () => {
    it("is that of the ledger, which holds it, not only that of the platform's configuration topic", () => {
        const { view, ageMs } = createAges(5_000);
        view.applyDocumentConfig(document);
        expect(ageMs()).to.equal(5_000);
    });

    it("does not count where a configuration of the platform is in force", () => {
        const { view, ageMs } = createAges(5_000);
        view.applyDocumentConfig(document);
        view.applyConfig({ ...document, version: 1 }, 1 as Offset, 2 as Offset);
        expect(ageMs()).to.equal(100);
    });
});
