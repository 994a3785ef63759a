import { expect } from "chai";
import type { BodyFraming } from "../../src/entry/requestFraming.js";
import { RequestFraming } from "../../src/entry/requestFraming.js";
import { SeededRandom } from "../support/seededRandom.js";

const maxOverheadBytes = 1_000;
const head = "POST / HTTP/1.1\r\nHost: h\r\n\r\n";

/** Takes all of the input in pieces of a given size; returns what the parser gets, call by call, or the error. */
function takeAll(input: string, pieceBytes: number, body: BodyFraming | undefined): string[] | string {
    const framing = new RequestFraming(maxOverheadBytes);
    const fed: string[] = [];
    for (let start = 0; start < input.length; start += pieceBytes) {
        for (let left = Buffer.from(input.slice(start, start + pieceBytes), "latin1"); left.length > 0;) {
            const taken = framing.take(left);
            if (typeof taken === "string") {
                return taken;
            }
            fed.push(...taken.bytes.length === 0 ? [] : [taken.bytes.toString("latin1")]);
            left = left.subarray(taken.usedBytes);
            if (taken.isHeadEnd) {
                framing.startBody(body);
            }
        }
    }
    return fed;
}

const chunked: BodyFraming = { kind: "chunked" };

/** Content of chunks, without extensions and trailers. */
function contentOf(chunks: string): string {
    let content = "";
    for (let left = chunks; !left.startsWith("0\r\n");) {
        const sizeEnd = left.indexOf("\r\n");
        const size = parseInt(left.slice(0, sizeEnd), 16);
        content += left.slice(sizeEnd + 2, sizeEnd + 2 + size);
        left = left.slice(sizeEnd + 4 + size);
    }
    return content;
}

describe("framing of requests", () => {
    for (const pieceBytes of [1, 2, 3, 5, 1_000]) {
        // Guards against the content of one request being taken for another one.
        it(`finds the end of each request, whatever the pieces (${String(pieceBytes)} bytes)`, () => {
            const withLength = takeAll(`\r\n${head}${head}${head}`, pieceBytes, { kind: "length", bytes: head.length });
            expect((withLength as string[]).join("")).to.equal(head.repeat(3));
            expect((takeAll(head.repeat(3), pieceBytes, undefined) as string[]).join("")).to.equal(head.repeat(3));
        });

        it(`keeps the content of chunks, whatever the pieces (${String(pieceBytes)} bytes)`, () => {
            const random = new SeededRandom(pieceBytes);
            const content = Array.from({ length: 60 }, () => "\r\n0\r\n\r\nx".slice(0, 1 + random.integerUpTo(6)));
            const body = content.map((part) => `0${part.length.toString(16)}${random.chance(0.2) ? " ;a=\"b\"" : ""}\r\n${part}\r\n`).join("");
            const fed = takeAll(`${head}${body}0\r\nT: 1\r\n\r\n${head}0\r\n\r\n`, pieceBytes, chunked) as string[];
            const joined = fed.join("");
            const secondHead = joined.lastIndexOf(head);
            expect(contentOf(joined.slice(head.length, secondHead))).to.equal(content.join(""));
            expect(joined.slice(secondHead)).to.equal(`${head}0\r\n\r\n`);
        });
    }

    // Guards against one buffer, and one step of the event loop, for each byte.
    it("joins the chunks of one read", () => {
        expect(takeAll(`${head}${"1\r\nx\r\n".repeat(500)}0\r\n\r\n`, 10_000, chunked)).to.deep.equal([
            head, `1f4\r\n${"x".repeat(500)}\r\n0\r\n\r\n`,
        ]);
    });

    const endless: Record<string, string> = {
        "empty lines": "\r\n".repeat(600),
        "zeros": `${head}${"0".repeat(1_200)}`,
        "a chunk extension": `${head}1;${"e".repeat(1_200)}`,
        "trailers": `${head}0\r\n${"t: 1\r\n".repeat(250)}`,
    };
    for (const [what, input] of Object.entries(endless)) {
        it(`bounds ${what}`, () => {
            expect(takeAll(input, 7, chunked)).to.equal("excess-framing");
        });
    }

    const invalid = [
        "zz\r\n", "\r\n", ";\r\n", "-1\r\n", "1\n", "1\r\nx1\r\n", "1\r\nx\n", "1;\0\r\n", "fffffffffffff\r\n", "0\r\n x: 1\r\n\r\n", "0\r\nx: 1\n\r\n", "0\r\n\rx",
    ];
    for (const body of invalid) {
        it(`refuses what is no chunk: ${JSON.stringify(body)}`, () => {
            expect(takeAll(`${head}${body}`, 4, chunked)).to.equal("invalid-chunk");
        });
    }
});
