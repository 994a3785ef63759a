import { expect } from "chai";
import fc from "fast-check";
import { ResponseParser, ResponseSyntaxError } from "../../src/forwarding/responseParser.js";

/** What a parser reported, as one line an event. */
function parse(pieces: readonly (string | Buffer)[], ends = false): { events: string[]; error?: string } {
    const events: string[] = [];
    const parser = new ResponseParser({
        onHead: ({ status, persistent }) => events.push(`head ${String(status)} ${persistent ? "stays" : "closes"}`),
        onBody: (chunk) => events.push(`body ${chunk.toString()}`),
        onEnd: () => events.push("end"),
    });
    try {
        pieces.forEach((piece) => {
            parser.push(Buffer.from(piece));
        });
        if (ends) {
            parser.end();
        }
        return { events };
    }
    catch (error) {
        if (!(error instanceof ResponseSyntaxError)) {
            throw error;
        }
        return { events, error: error.message };
    }
}

function bodyOf(events: readonly string[]): string {
    return events.filter((event) => event.startsWith("body ")).map((event) => event.slice(5)).join("");
}

describe("parser of targets' responses", () => {
    it("takes a body by its length, and the next response behind it", () => {
        const { events } = parse(["HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"]);
        expect(events).to.deep.equal(["head 200 stays", "body ab", "end", "head 503 stays", "end"]);
    });

    it("takes chunks, wherever they are cut on the way", () => {
        const text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nX: y\r\n\r\n";
        fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: text.length }), { maxLength: 6 }), (cuts) => {
            const places = [0, ...cuts.sort((left, right) => left - right), text.length];
            const { events, error } = parse(places.slice(1).map((to, index) => text.slice(places[index], to)));
            expect(error).to.equal(undefined);
            expect(bodyOf(events)).to.equal("abc0123456789abcdef");
            expect(events.at(-1)).to.equal("end");
        }));
    });

    it("ends a body without a length with the connection, and only then", () => {
        const text = "HTTP/1.1 200 OK\r\n\r\nabc";
        expect(parse([text]).events).to.deep.equal(["head 200 closes", "body abc"]);
        expect(parse([text], true).events).to.deep.equal(["head 200 closes", "body abc", "end"]);
    });

    it("skips interim responses", () => {
        expect(parse(["HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\n"]).events).to.deep.equal(["head 204 stays", "end"]);
    });

    const wrong: Record<string, string> = {
        "no status line": "hello\r\n\r\n",
        "a header without a colon": "HTTP/1.1 200 OK\r\nContent-Length 2\r\n\r\n",
        "a folded header": "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n",
        "two lengths": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab",
        "a length that is no number": "HTTP/1.1 200 OK\r\nContent-Length: 2x\r\n\r\nab",
        "a length beside chunks": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
        "an unknown transfer encoding": "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "a chunk size that is no number": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "a chunk longer than its size": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
    };
    for (const [what, text] of Object.entries(wrong)) {
        it(`refuses ${what}`, () => {
            const { events, error } = parse([text]);
            expect(error).to.be.a("string");
            expect(events).not.to.include("end");
        });
    }

    for (const text of ["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "HTTP/1.1 2"]) {
        it(`never takes a response that is cut short for a whole one: ${JSON.stringify(text.slice(-12))}`, () => {
            const { events, error } = parse([text], true);
            expect(error).to.equal("the response is cut short");
            expect(events).not.to.include("end");
        });
    }
});
