import { expect } from "chai";
import { parsesBytesBeyondAscii, parsesMethod } from "./parserAbilities.js";
import { useConnectedClient } from "./connectedClient.js";
import type { RawClient } from "./listenerClient.js";
import type { ListenerUnderTest } from "./listenerUnderTest.js";
import { expectedBody } from "./listenerUnderTest.js";

const noBody = Buffer.alloc(0);

describe("unusual requests that the protocol allows", () => {
    let listener: ListenerUnderTest;
    let client: RawClient;

    useConnectedClient((connected) => {
        ({ listener, client } = connected);
    });

    it("are served with more than 2,000 header fields before Host, within the limit on bytes", async () => {
        await client.write(Buffer.from(`GET /a/x HTTP/1.1\r\n${"f:\r\n".repeat(3_000)}Host: one.example\r\nRequest-Id: r-1\r\n\r\n`));
        expect(await client.readAnswer()).to.include({ status: 200, body: expectedBody("r-1", "/a/x", noBody) });
    });

    const targets = [
        ["http://one.example/a/x?y=/b/", "other.example", "/a/x?y=/b/"],
        ["HTTP://user@ONE.example:8080/a/", "other.example", "/a/"],
        ["/a/x", "one.example.", "/a/x"],
        ["/a/x", "One.Example.:8080", "/a/x"],
    ] as const;
    for (const [target, host, path] of targets) {
        it(`are served by the host name that they mean: ${target}, Host ${host}`, async () => {
            await client.write(Buffer.from(`GET ${target} HTTP/1.1\r\nHost: ${host}\r\nRequest-Id: r-1\r\n\r\n`));
            expect(await client.readAnswer()).to.include({ status: 200, body: expectedBody("r-1", path, noBody) });
        });
    }

    for (const method of ["QUERY", "get", "VERSION-CONTROL"].filter((method) => !parsesMethod(method))) {
        // The protocol lets routes have any method; that the parser knows only some is no mistake of the client.
        it(`are not blamed for a method that this host does not implement: ${method}`, async () => {
            await client.write(Buffer.from(`${method} /a/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r-1\r\n\r\n`));
            const answer = await client.readAnswer();
            expect(answer).to.include({ status: 501 });
            expect(answer.headers["connection"]).to.equal("close");
            expect(listener.denials.map(({ reason, status }) => [reason, status])).to.deep.equal([["unknown-method", 501]]);
        });
    }

    for (const method of ["QUERY", "PATCH"].filter(parsesMethod)) {
        it(`are served with any method that the parser knows: ${method}`, async () => {
            await client.write(Buffer.from(`${method} /a/x HTTP/1.1\r\nHost: one.example\r\nContent-Length: 0\r\nRequest-Id: r-1\r\n\r\n`));
            expect(await client.readAnswer()).to.include({ status: 200, body: expectedBody("r-1", "/a/x", noBody) });
        });
    }

    it("are served or denied as a whole with bytes beyond ASCII in the path, as the parser takes them", async () => {
        await client.write(Buffer.from("GET /a/\u00e9 HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r-1\r\n\r\n", "latin1"));
        const expected = await parsesBytesBeyondAscii() ? { status: 200, served: ["r-1"] } : { status: 400, served: [] };
        expect({ status: (await client.readAnswer()).status, served: listener.servedIds }).to.deep.equal(expected);
        expect(listener.denials.map(({ reason }) => reason)).to.deep.equal(expected.status === 400 ? ["malformed"] : []);
    });

    it("are not blamed for such a method that arrives in pieces", async () => {
        await client.write(Buffer.from("GET"), Buffer.from("S"), Buffer.from(" /a/x HTTP/1.1\r\n"));
        expect((await client.readAnswer()).status).to.equal(501);
    });

    it("have no route if an absolute request target names another host", async () => {
        await client.write(Buffer.from("GET http://other.example/a/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r-1\r\n\r\n"));
        expect((await client.readAnswer()).status).to.equal(404);
    });

    it("are not read from the place of a body that an unknown expectation held back", async () => {
        await client.write(Buffer.from("POST /a/x HTTP/1.1\r\nHost: one.example\r\nExpect: more\r\nContent-Length: 4\r\n\r\n"));
        const answer = await client.readAnswer();
        expect(answer.status).to.equal(417);
        expect(answer.headers["connection"]).to.equal("close");
        await client.write(Buffer.from("GET /a/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r-1\r\n\r\n"));
        expect((await client.readAnswer()).status).to.equal(0);
    });

    it("are not read from the middle of a body that follows a request with Upgrade", async () => {
        const smuggled = "GET /a/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: smuggled\r\n\r\n";
        await client.write(Buffer.from("GET /a/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r-1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n"
            + `POST /a/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r-2\r\nContent-Length: ${String(smuggled.length)}\r\n\r\n`));
        await client.write(Buffer.from(smuggled));
        const answer = await client.readAnswer();
        expect(answer).to.include({ status: 200, body: expectedBody("r-1", "/a/x", noBody) });
        expect((await client.readAnswer()).status).to.equal(0);
        expect(listener.servedIds).to.deep.equal(["r-1"]);
        expect(answer.headers["connection"]).to.equal("close");
    });
});
