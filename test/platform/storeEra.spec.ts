import http from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { headers } from "../../platform/names.js";
import { createStore } from "../../platform/store.js";
import type { Address, Era, Offset } from "../../src/model/names.js";
import { positionOf } from "../../src/model/storePosition.js";
import type { StorePort } from "../../src/store/storePort.js";

const host = "127.0.0.1";

describe("client of a store that states its era", () => {
    let server: http.Server;
    let store: StorePort;
    let era: string | undefined;
    let callCount: number;

    beforeEach(async () => {
        callCount = 0;
        server = http.createServer((request, response) => {
            callCount += 1;
            const body = request.method === "POST" ? "{\"offset\":3,\"end\":4}" : "{\"items\":[],\"truncated\":false,\"end\":3}";
            request.resume();
            response.writeHead(200, era === undefined ? {} : { [headers.storeEra]: era }).end(body);
        });
        await new Promise<void>((resolve) => server.listen(0, host, resolve));
        store = createStore(`${host}:${String((server.address() as AddressInfo).port)}` as Address, () => undefined);
    });

    afterEach(() => {
        server.close();
        server.closeAllConnections();
    });

    const snapshotAt = async (stated: string | undefined) => {
        era = stated;
        return (await store.snapshot("ledger")).match(({ upTo }): number | string => upTo, ({ message }) => message);
    };

    it("drops answers whose era is older, missing after one was stated, or no number, and says why", async () => {
        expect([
            await snapshotAt(undefined), await snapshotAt("2"), await snapshotAt("1"), await snapshotAt(undefined), await snapshotAt("x"),
            await snapshotAt("-1"), await snapshotAt("512"), await snapshotAt("1e2"), await snapshotAt("3"),
        ]).to.deep.equal([
            3, positionOf(2 as Era, 3), "answer of era 1, after one of 2", "answer of era 0, after one of 2", "era \"x\"; allowed: 0 to 511",
            "era \"-1\"; allowed: 0 to 511", "era \"512\"; allowed: 0 to 511", "era \"1e2\"; allowed: 0 to 511", positionOf(3 as Era, 3),
        ]);
    });

    it("does not rely on an append that took effect in another past than its caller knew", async () => {
        era = "1";
        expect((await store.append([{ key: "k", value: undefined }], 3 as Offset))._unsafeUnwrap()).to.deep.equal({ kind: "conflict" });
        expect((await store.append([{ key: "k", value: undefined }], positionOf(1 as Era, 3)))._unsafeUnwrap())
            .to.deep.equal({ kind: "appended", offset: positionOf(1 as Era, 3) });
    });

    it("does not call the store for a position that it has lost", async () => {
        await snapshotAt("1");
        expect((await store.read("ledger", 3 as Offset, 0))._unsafeUnwrap()).to.deep.equal({ kind: "expired" });
        expect((await store.append([{ key: "k", value: undefined }], 3 as Offset))._unsafeUnwrap()).to.deep.equal({ kind: "conflict" });
        expect(callCount).to.equal(1);
    });
});
