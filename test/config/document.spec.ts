import { expect, use } from "chai";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";
import { stringify } from "yaml";
import { compileDocument } from "../../src/config/compile.js";
import { nextExpiryWallMs } from "../../src/config/document.js";
import { parseConfigDocument } from "../../src/config/documentParser.js";
import { keyOfName, ownDialect } from "../../src/entry/ownDialect.js";
import type { RequestId } from "../../src/model/names.js";
import { createRouteTable } from "../../src/routing/routeTable.js";
import { sampleDocument } from "./sample.js";

use(jestSnapshotPlugin());

const before = Date.parse("2029-12-31T00:00:00.000Z");
const after = Date.parse("2030-01-02T00:00:00.000Z");

describe("configuration document", () => {
    it("is parsed from YAML, and each problem is reported with its line and path", () => {
        expect(parseConfigDocument(stringify(sampleDocument))._unsafeUnwrap()).to.deep.equal(sampleDocument);
        const text = stringify({
            ...sampleDocument,
            defaults: { ...sampleDocument.defaults, readPriority: 12 },
            exceptions: [{ ...sampleDocument.exceptions[0], reason: "no" }, { ...sampleDocument.exceptions[0], institution: "nobody" }],
        });
        expect(parseConfigDocument(text)._unsafeUnwrapErr()).toMatchSnapshot();
        expect(parseConfigDocument("defaults: [")._unsafeUnwrapErr()[0]?.line).to.equal(1);
    });

    it("is compiled into routes and services", () => {
        expect(compileDocument(sampleDocument, 3, before)).toMatchSnapshot();
    });

    it("no longer applies an exception after its expiry", () => {
        const timeoutAt = (nowWallMs: number) => compileDocument(sampleDocument, 1, nowWallMs).routes[0]?.timeoutMs;
        expect(timeoutAt(before)).to.equal(700);
        expect(timeoutAt(after)).to.equal(1_000);
        expect(nextExpiryWallMs(sampleDocument, before)).to.equal(Date.parse("2030-01-01T00:00:00.000Z"));
        expect(nextExpiryWallMs(sampleDocument, after)).to.equal(undefined);
    });

    it("has separate routes for reads and orders, by method", () => {
        const table = createRouteTable(compileDocument(sampleDocument, 1, before));
        const find = (path: string, method: string) => table.find("any.example", path, method)?.routeId;
        expect(find("/v1/hladvarmi/batteries/keys/b1", "GET")).to.equal("hladvarmi/batteries/read");
        expect(find("/v1/hladvarmi/batteries/keys/b1", "POST")).to.equal("hladvarmi/batteries/order");
        expect(find("/v1/malanad/gazetteer/lists/x", "GET")).to.equal("malanad/gazetteer/bulk");
        expect(find("/v1/malanad/gazetteer/lists/x", "POST")).to.equal(undefined);
    });
});

describe("the project's own HTTP interface", () => {
    it("takes the key from the path, and the request id and the budget from headers", () => {
        const terms = ownDialect.termsOf("/v1/hladvarmi/batteries/keys/b1?x=1", { "hornbeam-request-id": "r1", "hornbeam-budget-ms": "900" });
        expect(terms).to.deep.equal({ requestId: "r1", budgetMs: 900, key: keyOfName("b1") });
        expect(ownDialect.termsOf("/v1/malanad/gazetteer/lists/x", {}).key).to.equal(undefined);
        expect(ownDialect.termsOf("/v1/malanad/gazetteer/lists/x", {}).requestId).to.match(/^[0-9a-f-]{36}$/);
    });

    it("reports whether a refused request has not run or may have run", () => {
        const refusal = (reason: "overloaded" | "lost") => ownDialect.headersOfRefusal("r" as RequestId, { reason, retryAfterMs: 1_500 });
        expect(refusal("overloaded")).to.include.members(["hornbeam-outcome", "not-run", "hornbeam-retry-after-ms", "1500", "Retry-After", "2"]);
        expect(refusal("lost")).to.include.members(["hornbeam-outcome", "unknown"]);
        expect(ownDialect.headersOfAnswer("r" as RequestId)).to.include.members(["hornbeam-outcome", "done"]);
    });
});
