import http from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { createStore } from "../../platform/store.js";
import type { Address, Offset } from "../../src/model/names.js";
import type { StorePort } from "../../src/store/storePort.js";

/** Encodes a page as the platform's store does. */
function encodePage(end: number, values: readonly string[]): Buffer {
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(end), 0);
    const records = values.map((value) => {
        const content = Buffer.concat([Buffer.from([1]), Buffer.from("k"), Buffer.from(value)]);
        const length = Buffer.alloc(4);
        length.writeUInt32BE(content.length);
        return Buffer.concat([length, content]);
    });
    return Buffer.concat([head, ...records]);
}

describe("pages of the platform's store", () => {
    let server: http.Server;
    let store: StorePort;
    let page: Buffer;

    beforeEach(async () => {
        server = http.createServer((_request, response) => response.writeHead(200).end(page));
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        store = createStore(`127.0.0.1:${String((server.address() as AddressInfo).port)}` as Address, () => undefined);
    });

    afterEach(() => {
        server.closeAllConnections();
        server.close();
    });

    it("tells where the topic ends, so that a page that holds only a part of the records is not taken for all of them", async () => {
        page = encodePage(9, ["a", "b"]);
        const outcome = (await store.read("configuration", 5 as Offset, 0))._unsafeUnwrap();
        expect(outcome.kind === "page" ? { next: outcome.page.next, end: outcome.page.end } : undefined).to.deep.equal({ next: 7, end: 9 });
    });
});
