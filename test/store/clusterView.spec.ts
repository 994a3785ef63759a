import { expect } from "chai";
import type { ConfigDocument } from "../../src/config/documentSchema.js";
import type { Offset } from "../../src/model/names.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import type { LedgerChange } from "../../src/ownership/ledgerRecords.js";
import { ClusterView } from "../../src/store/clusterView.js";

const document = { version: 3, routes: [], services: [] } as unknown as RoutingConfig;
const platformConfig = { version: 1, routes: [], services: [] } as unknown as RoutingConfig;

describe("configuration in a host's state", () => {
    let view: ClusterView;
    let changeCount: number;

    beforeEach(() => {
        view = new ClusterView();
        changeCount = 0;
        view.configChanged.listen(() => {
            changeCount += 1;
        });
    });

    it("is not the document before the platform's topic was read, which may hold one that takes precedence", () => {
        view.applyDocumentConfig(document);
        expect(view.config).to.equal(undefined);
        expect(view.isDocumentConfig).to.equal(false);
        view.applyConfig(platformConfig, 4 as Offset, 5 as Offset);
        expect(view.config?.config).to.equal(platformConfig);
    });

    it("is the document once the platform's topic was read and holds none", () => {
        view.applyDocumentConfig(document);
        const countBefore = changeCount;
        view.applyConfig(undefined, 0 as Offset, 0 as Offset);
        expect(view.config?.config).to.equal(document);
        expect(view.isDocumentConfig).to.equal(true);
        expect(changeCount).to.equal(countBefore + 1);
        view.applyConfig(undefined, 1 as Offset, 1 as Offset);
        expect(changeCount).to.equal(countBefore + 1);
    });

    it("is known not to be in force if a newer version of the document can't be decoded", () => {
        const recordOf = (version: number): LedgerChange => ({
            key: `document/${String(version)}`, offset: version as Offset,
            record: { kind: "document", version, basedOn: 0, document: {} as ConfigDocument, author: "a", reason: "r", publishedWallMs: 0 },
        });
        view.applyConfig(undefined, 0 as Offset, 0 as Offset);
        view.applyLedger([recordOf(3)], 0 as Offset, 4 as Offset);
        view.applyDocumentConfig(document);
        view.ledger.markUnreadable("document/2", 2 as Offset);
        expect(view.isConfigUnreadable).to.equal(false);
        view.ledger.markUnreadable("document/4", 4 as Offset);
        expect(view.isConfigUnreadable).to.equal(true);
        view.applyLedger([recordOf(5)], 4 as Offset, 6 as Offset);
        expect(view.isConfigUnreadable).to.equal(false);
    });

    it("is known not to be in force if a newer one can't be decoded, also where offsets have gone back", () => {
        view.applyConfig(platformConfig, 12 as Offset, 13 as Offset);
        view.restartConfigReading(9 as Offset);
        expect(view.isConfigUnreadable).to.equal(false);
        view.markConfigUnreadable(10 as Offset);
        view.applyConfig(undefined, 10 as Offset, 11 as Offset);
        expect(view.isConfigUnreadable).to.equal(true);
        view.applyConfig({ ...platformConfig, version: 2 }, 11 as Offset, 12 as Offset);
        expect(view.isConfigUnreadable).to.equal(false);
    });
});
