import { expect } from "chai";
import { watchDocument } from "../../src/host/documentWatcher.js";
import type { Offset } from "../../src/model/names.js";
import { documentKeyOf } from "../../src/ownership/ledgerRecords.js";
import { decodeLedgerRecord } from "../../src/ownership/ledgerDecoder.js";
import { ClusterView } from "../../src/store/clusterView.js";
import { VirtualClock } from "../support/virtualTime.js";
import { sampleDocument } from "../config/sample.js";

describe("a configuration document that another program wrote", () => {
    it("leaves the former one in force if it can't be meant, and a later one is still followed", async () => {
        const clock = new VirtualClock();
        const view = new ClusterView();
        view.applyConfig(undefined, 0 as Offset, 0 as Offset);
        const stop = new AbortController();
        let ended = "";
        watchDocument(view, clock, { info: () => undefined, warn: () => undefined, error: () => undefined }, stop.signal)
            .then(() => ended = "stopped", (error: unknown) => ended = String(error));
        const publish = async (version: number, document: unknown) => {
            const value = { kind: "document", version, basedOn: version - 1, document, author: "a", reason: "r", publishedWallMs: 1 };
            const offset = view.ledger.upTo;
            const decoded = decodeLedgerRecord({ key: documentKeyOf(version), offset, value: Buffer.from(JSON.stringify(value)) });
            view.applyLedger(decoded.isOk() ? [decoded.value] : [], offset, offset + 1 as Offset);
            await clock.advance(10);
            return view.config?.config.version;
        };
        expect(await publish(1, sampleDocument)).to.equal(1);
        expect(await publish(2, { institutions: {} })).to.equal(1);
        expect(await publish(3, { ...sampleDocument, institutions: { "malanad": { pools: { "gazetteer": { kind: "__proto__" } } } } })).to.equal(1);
        expect(await publish(4, sampleDocument)).to.equal(4);
        expect(ended).to.equal("");
        stop.abort();
        await clock.advance(10);
        expect(ended).to.equal("stopped");
    });
});
