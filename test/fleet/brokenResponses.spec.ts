import type net from "node:net";
import { expect } from "chai";
import type { ClientAnswer, FleetHost } from "./fleet.js";
import { send, sleep } from "./fleet.js";
import { useScriptedFleet, writePath } from "./scriptedFleet.js";
import type { ScriptedTarget } from "./scriptedTarget.js";
import { signedAnswer } from "./scriptedTarget.js";

const concurrency = 4;

const signed = (id: string, status: number, rest: string) =>
    `HTTP/1.1 ${String(status)} Some\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\n${rest}`;

/** A complete response, and whether its end is the end of the connection. */
interface ResponseFormat {
    method: string;
    text: (id: string) => string;
    body: string;
    endsWithConnection: boolean;
}

const formats: Record<string, ResponseFormat> = {
    "a body with a length": {
        method: "POST", text: (id) => signed(id, 200, "Content-Length: 10\r\n\r\n0123456789"), body: "0123456789", endsWithConnection: false,
    },
    "an interim response before it": {
        method: "POST", text: (id) => `HTTP/1.1 100 Continue\r\n\r\n${signed(id, 200, "Content-Length: 2\r\n\r\nab")}`, body: "ab",
        endsWithConnection: false,
    },
    "a chunked body with a trailer": {
        method: "POST", text: (id) => signed(id, 200, "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\nb\r\n0123456789a\r\n0\r\nX: y\r\n\r\n"),
        body: "abc0123456789a", endsWithConnection: false,
    },
    "a body that ends with the connection": {
        method: "POST", text: (id) => signed(id, 200, "X: y\r\n\r\n0123456789"), body: "0123456789", endsWithConnection: true,
    },
    "no body, to HEAD": { method: "HEAD", text: (id) => signed(id, 200, "Content-Length: 10\r\n\r\n"), body: "", endsWithConnection: false },
    "no body, to HEAD, without a length": { method: "HEAD", text: (id) => signed(id, 200, "X: y\r\n\r\n"), body: "", endsWithConnection: false },
    "status 204": { method: "POST", text: (id) => signed(id, 204, "X: y\r\n\r\n"), body: "", endsWithConnection: false },
    "status 304": { method: "POST", text: (id) => signed(id, 304, "Content-Length: 10\r\n\r\n"), body: "", endsWithConnection: false },
};

type End = (socket: net.Socket) => void;

const ends: Record<string, End> = {
    "closes": (socket) => socket.end(),
    "resets": (socket) => socket.resetAndDestroy(),
    "resets a little later": (socket) => setTimeout(() => socket.resetAndDestroy(), 8),
};

/** What a faulty target sends after a complete response. Such bytes belong to no request. */
const surplus: Record<string, string> = {
    "bytes that are no response": "0123456789",
    "an empty line": "\r\n",
    "half a head": "HTTP/1.1 200 OK\r\nRequest-",
    "an interim response": "HTTP/1.1 100 Continue\r\n\r\n",
    "a refusal without an id": "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "half a refusal without an id": "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Le",
};

describe("a response that breaks off", function () {
    this.timeout(60_000);
    let target: ScriptedTarget;
    let host: FleetHost;

    useScriptedFleet((started) => {
        ({ target, host } = started);
    });

    const write = (id: string, method = "POST"): Promise<ClientAnswer> =>
        send(host, { id, path: `${writePath}x`, method, budgetMs: 2_000 });

    /** Returns a request id that states after how many bytes the target cuts the response. */
    const idOf = (prefix: string, length: number) => `${prefix}-${String(length).padStart(4, "0")}`;

    /**
     * Cuts a response at every byte, and returns each client's answer that isn't a failure which says that the request may have run.
     * A request that never reached the target may be refused.
     */
    const findWrongAnswers = async (
        { method, text, endsWithConnection }: ResponseFormat, endName: string, prefix: string,
    ): Promise<{ length: number; status: number; body: string }[]> => {
        const sample = text(idOf(prefix, 0));
        const totalBytes = sample.length;
        // An orderly close ends a body without a length, at whatever byte.
        const lengths = Array.from({ length: totalBytes + 1 }, (_, length) => length).filter((length) => endsWithConnection
            ? endName !== "closes" || length < sample.indexOf("\r\n\r\n") + 4
            : length < totalBytes);
        target.react = (socket, { requestId }) => {
            socket.write(text(requestId).slice(0, Number(requestId.slice(-4))));
            ends[endName]!(socket);
        };
        const wrong: { length: number; status: number; body: string }[] = [];
        const queue = [...lengths];
        await Promise.all(Array.from({ length: concurrency }, async () => {
            for (let length = queue.shift(); length !== undefined; length = queue.shift()) {
                const id = idOf(prefix, length);
                const { status, body } = await write(id, method);
                const hasArrived = target.received.some(({ requestId }) => requestId === id);
                if (hasArrived ? status !== 502 && status !== 0 : status !== 503) {
                    wrong.push({ length, status, body });
                }
            }
        }));
        return wrong;
    };

    for (const [formatName, format] of Object.entries(formats)) {
        for (const endName of Object.keys(ends)) {
            it(`never reaches the client as an answer: ${formatName}, the target ${endName} after any byte`, async () => {
                const prefix = `${formatName}-${endName}`.replaceAll(/[^a-z0-9]+/gi, "-");
                expect(await findWrongAnswers(format, endName, prefix)).to.deep.equal([]);
            });
        }

        it(`is told apart from a complete one: ${formatName}`, async () => {
            target.react = (socket, { requestId }) => {
                socket.write(format.text(requestId));
                if (format.endsWithConnection) {
                    socket.end();
                }
            };
            const { status, body } = await write("whole", format.method);
            expect([status, body]).to.deep.equal([Number(format.text("").split("\r\n\r\n").at(format.text("").startsWith("HTTP/1.1 100") ? 1 : 0)?.slice(9, 12)), format.body]);
        });

        for (const [what, bytes] of format.endsWithConnection ? [] : Object.entries(surplus)) {
            for (const delayMs of [0, 5]) {
                it(`is not made of bytes that came after an earlier response: ${what}, ${String(delayMs)} ms after ${formatName}`, async () => {
                    const isFirst = (id: string) => id.endsWith("-first");
                    target.react = (socket, { requestId }) => {
                        if (!isFirst(requestId)) {
                            socket.write(signedAnswer(requestId, `body of ${requestId}`));
                        }
                        else if (delayMs === 0) {
                            socket.write(format.text(requestId) + bytes);
                        }
                        else {
                            socket.write(format.text(requestId));
                            setTimeout(() => socket.write(bytes), delayMs);
                        }
                    };
                    for (let round = 0; round < 3; round++) {
                        const name = `${formatName}-${what}-${String(delayMs)}-${String(round)}`.replaceAll(/[^a-z0-9]+/gi, "-");
                        expect((await write(`${name}-first`, format.method)).body).to.equal(format.body);
                        await sleep(delayMs * 3);
                        const next = await write(`${name}-next`);
                        expect([next.status, next.body]).to.deep.equal([200, `body of ${name}-next`]);
                    }
                });
            }
        }
    }
});
