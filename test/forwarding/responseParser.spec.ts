import { expect } from "chai";
import fc from "fast-check";
import { ResponseSyntaxError } from "../../src/forwarding/responseHead.js";
import { ResponseParser } from "../../src/forwarding/responseParser.js";

/** Parses the pieces and returns the reported events, one string each. `connectionEnds` ends the connection after them. */
function parse(pieces: readonly (string | Buffer)[], connectionEnds = false): { events: string[]; error?: string } {
    const events: string[] = [];
    const parser = new ResponseParser({
        isBodiless: () => false,
        onHead: ({ status, persistent }) => events.push(`head ${String(status)} ${persistent ? "stays" : "closes"}`),
        onBody: (input, start, end) => events.push(`body ${input.toString("utf8", start, end)}`),
        onEnd: () => events.push("end"),
    });
    try {
        pieces.forEach((piece) => {
            parser.push(Buffer.from(piece));
        });
        if (connectionEnds) {
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
    it("parses a body with a Content-Length and the response that follows it", () => {
        const { events } = parse(["HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"]);
        expect(events).to.deep.equal(["head 200 stays", "body ab", "end", "head 503 stays", "end"]);
    });

    it("parses a chunked body, wherever the received data is split", () => {
        const text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nX: y\r\n\r\n";
        fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: text.length }), { maxLength: 6 }), (cuts) => {
            const places = [0, ...cuts.sort((left, right) => left - right), text.length];
            const { events, error } = parse(places.slice(1).map((to, index) => text.slice(places[index], to)));
            expect(error).to.equal(undefined);
            expect(bodyOf(events)).to.equal("abc0123456789abcdef");
            expect(events.at(-1)).to.equal("end");
        }));
    });

    it("keeps nothing of the bytes that it was given, which are overwritten after each piece", () => {
        const events: string[] = [];
        const parser = new ResponseParser({
            isBodiless: () => false,
            onHead: ({ rawHeaders }) => events.push(...rawHeaders),
            onBody: (input, start, end) => events.push(input.toString("utf8", start, end)),
            onEnd: () => events.push("end"),
        });
        const shared = Buffer.alloc(3);
        const text = Buffer.from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n");
        for (let position = 0; position < text.length; position += shared.length) {
            const copiedBytes = text.copy(shared, 0, position);
            parser.push(shared.subarray(0, copiedBytes));
        }
        expect(events.join("|")).to.match(/^Transfer-Encoding\|chunked\|[abc|]+\|end$/);
    });

    for (const [what, piece] of [["a head", "X: y\r\n"], ["a line of a chunk", "0"]] as const) {
        it(`rejects ${what} that is too long in the same way, wherever the received data is split`, () => {
            const start = what === "a head" ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            const text = `${start}${piece.repeat(12_000)}\r\n\r\n`;
            const whole = parse([text]);
            expect(whole.error).to.match(/exceeds the size limit/);
            expect(parse([...text])).to.deep.equal(whole);
        });
    }

    it("ends a body without a length at the end of the connection, and not before", () => {
        const text = "HTTP/1.1 200 OK\r\n\r\nabc";
        expect(parse([text]).events).to.deep.equal(["head 200 closes", "body abc"]);
        expect(parse([text], true).events).to.deep.equal(["head 200 closes", "body abc", "end"]);
    });

    it("skips interim responses", () => {
        expect(parse(["HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\n"]).events).to.deep.equal(["head 204 stays", "end"]);
    });

    // Guards against a host that stops for seconds: time with the square of a run of blanks in a header line (review/2).
    it("parses the longest run of blanks in any place of a head in no more time than other heads take", () => {
        const blanks = " \t".repeat(30_000);
        const heads = [
            `X: a${blanks}b`, `X: a${blanks}`, `X:${blanks}a`, `X: a${blanks}\0`, `X${blanks}: a`, `X: a\r\n${blanks}`, `X: ${blanks}`, blanks,
        ];
        const startedMs = performance.now();
        const outcomes = heads.map((head) => parse([`HTTP/1.1 200 OK\r\n${head}\r\nContent-Length: 0\r\n\r\n`]));
        expect(performance.now() - startedMs).to.be.below(200);
        expect(outcomes.map(({ error }) => error ?? "parsed")).to.deep.equal([
            "parsed", "parsed", "parsed", "malformed header line", "malformed header line", "malformed header line", "parsed", "malformed header line",
        ]);
    });

    it("removes blanks around a value, and none within it", () => {
        const values: string[] = [];
        const parser = new ResponseParser({
            isBodiless: () => false,
            onHead: ({ rawHeaders }) => values.push(...rawHeaders), onBody: () => undefined, onEnd: () => undefined,
        });
        parser.push(Buffer.from("HTTP/1.1 204 No\r\nA:  b c\t\r\nD:\t\r\nE:\r\n\r\n"));
        expect(values).to.deep.equal(["A", "b c", "D", "", "E", ""]);
    });

    const invalidResponses: Record<string, string> = {
        "a missing status line": "hello\r\n\r\n",
        "a header without a colon": "HTTP/1.1 200 OK\r\nContent-Length 2\r\n\r\n",
        // Guards against answers of a target in trouble whose status is none of HTTP.
        ...Object.fromEntries(["000", "001", "099", "600", "999", "00", "20", "2000", "2e2", "-20", "+200"].map((status) =>
            [`the status ${status}`, `HTTP/1.1 ${status} Some\r\nContent-Length: 0\r\n\r\n`])),
        "another major version": "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
        "a switch to another protocol": "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "a control character in a header": "HTTP/1.1 200 OK\r\nA: b\u0001\r\nContent-Length: 0\r\n\r\n",
        "a control character in the reason phrase": "HTTP/1.1 200 O\u0000K\r\nContent-Length: 0\r\n\r\n",
        "a line feed without carriage return": "HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n",
        "a folded header": "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n",
        "two different Content-Length headers": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab",
        "a Content-Length that is not a number": "HTTP/1.1 200 OK\r\nContent-Length: 2x\r\n\r\nab",
        "a Content-Length together with chunked encoding": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
        "an unknown transfer encoding": "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "a chunk size that is not a number": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "a chunk longer than its declared size": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
    };
    for (const [what, text] of Object.entries(invalidResponses)) {
        it(`rejects ${what}`, () => {
            const { events, error } = parse([text]);
            expect(error).to.be.a("string");
            expect(events).not.to.include("end");
        });
    }

    for (const text of ["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "HTTP/1.1 2"]) {
        it(`reports a truncated response as an error: ${JSON.stringify(text.slice(-12))}`, () => {
            const { events, error } = parse([text], true);
            expect(error).to.equal("truncated response: connection ended before the end of the response");
            expect(events).not.to.include("end");
        });
    }
});
