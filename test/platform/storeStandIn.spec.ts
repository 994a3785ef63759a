import { expect } from "chai";
import { paths, topics } from "../../platform/names.js";
import type { StoreStandIn } from "../../platform/standins/storeStandIn.js";
import { copyPath, returnPath, startStore } from "../../platform/standins/storeStandIn.js";

const host = "127.0.0.1";
const part = "0";
const topic = topics.ledger;

interface Answer {
    status: number;
    era: string | null;
    body: string;
}

describe("store that comes back from an older copy", () => {
    let store: StoreStandIn;

    beforeEach(async () => {
        store = await startStore(host, 0);
        ["a", "b", "c"].forEach((key) => store.put(topic, key, { key }));
    });

    afterEach(() => store.stop());

    const call = async (method: "GET" | "POST", path: string, query: Record<string, string>): Promise<Answer> => {
        const response = await fetch(`http://${store.address}${path}?${new URLSearchParams({ topic, part, ...query }).toString()}`, { method });
        return { status: response.status, era: response.headers.get("Store-Era"), body: await response.text() };
    };

    it("has lost what came after the copy, and says so by its era in all answers", async () => {
        const before = await call("GET", paths.logRead, { start_from: "3" });
        const copy = store.takeCopy();
        store.put(topic, "a", undefined);
        store.put(topic, "d", { key: "d" });
        const held = call("GET", paths.logRead, { start_from: "5", wait_ms: "5000" });
        await call("GET", paths.logRead, { start_from: "0" });
        store.returnFrom(copy);
        const answers = [
            before, await held,
            await call("GET", paths.logRead, { start_from: "4" }),
            await call("GET", paths.logRead, { start_from: "3" }),
            await call("POST", paths.logAppend, { at: "5" }),
            await call("POST", paths.logAppend, { at: "3" }),
        ];
        expect(answers.map(({ status, era }) => [status, era])).to.deep.equal([
            [200, "0"], [410, "1"], [410, "1"], [200, "1"], [412, "1"], [200, "1"],
        ]);
        const { items, end } = JSON.parse((await call("GET", paths.logNewest, {})).body) as { items: { key: string }[]; end: number };
        expect([items.map(({ key }) => key), end]).to.deep.equal([["a", "b", "c"], 3]);
    });

    it("takes a copy, is away and comes back at a call", async () => {
        await call("POST", copyPath, {});
        store.put(topic, "d", { key: "d" });
        const back = call("POST", returnPath, { away_ms: "200" });
        const lost = await fetch(`http://${store.address}${paths.logNewest}?topic=${topic}&part=${part}`, { signal: AbortSignal.timeout(100) })
            .then(({ status }) => status, () => "no answer");
        expect([lost, JSON.parse((await back).body)]).to.deep.equal(["no answer", { era: 1 }]);
        expect((await call("GET", paths.logRead, { start_from: "4" })).status).to.equal(410);
    });
});
