import { expect } from "chai";
import { useConnectedClient } from "./connectedClient.js";
import type { RawClient } from "./listenerClient.js";
import type { ListenerUnderTest } from "./listenerUnderTest.js";
import { expectedBody, limits, treatmentHeader } from "./listenerUnderTest.js";

const treatments = [["refused", 503], ["refused-while-read", 503], ["answered-early", 200]] as const;

function requestOf(id: string, treatment: string, fields = "", method = "GET"): Buffer {
    return Buffer.from(`${method} /a/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: ${id}\r\n${treatmentHeader}: ${treatment}\r\n${fields}\r\n`);
}

/** Body longer than what is read at once; its content looks like a request. */
const longBody = Buffer.alloc(400_000, requestOf("smuggled", "served"));

describe("a body that the service does not read to its end", () => {
    let listener: ListenerUnderTest;
    let client: RawClient;

    useConnectedClient((connected) => {
        ({ listener, client } = connected);
    });

    const framings = [
        { name: "with a length", fields: `Content-Length: ${String(longBody.length)}\r\n`, framed: longBody },
        {
            name: "in chunks", fields: "Transfer-Encoding: chunked\r\n",
            framed: Buffer.concat([Buffer.from(`${longBody.length.toString(16)}\r\n`), longBody, Buffer.from("\r\n0\r\n\r\n")]),
        },
    ];
    for (const { name, fields, framed } of framings) {
        for (const [treatment, status] of treatments) {
            it(`leaves the connection usable: ${name}, ${treatment}`, async () => {
                await client.write(requestOf("r-1", treatment, fields, "POST"), framed.subarray(0, 100_000));
                expect((await client.readAnswer()).status).to.equal(status);
                const writing = client.write(framed.subarray(100_000), requestOf("r-2", "served"));
                expect(await client.readAnswer()).to.include({ status: 200, body: expectedBody("r-2", "/a/x", Buffer.alloc(0)) });
                await writing;
                expect(listener.servedIds).to.deep.equal(["r-1", "r-2"]);
            });
        }
    }

    it("closes the connection once it is longer than allowed", async () => {
        const bytes = limits.maxBodyBytes + 100_000;
        await client.write(requestOf("r-1", "served", "Transfer-Encoding: chunked\r\n", "POST"), Buffer.from(`${(bytes * 2).toString(16)}\r\n`));
        const writing = client.write(Buffer.alloc(bytes, "b"));
        expect((await client.readAnswer()).status).to.equal(408);
        expect((await client.readAnswer()).status).to.equal(0);
        await writing;
    });
});
