import { expect } from "chai";
import type { Offset } from "../../src/model/names.js";
import type { RoutingConfig } from "../../src/model/routing.js";
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
});
