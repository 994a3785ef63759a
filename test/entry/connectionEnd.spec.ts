import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { ReceivedAnswer } from "./listenerClient.js";
import { RawClient } from "./listenerClient.js";
import type { ListenerUnderTest } from "./listenerUnderTest.js";
import { largeAnswerBytes, startListener, treatmentHeader } from "./listenerUnderTest.js";

/** Time after which what was written to a connection has been read. */
const readMs = 20;

/** Longer than the service works on a request of the treatment `late`. */
const lateMs = 100;

const stallMs = 300;

/** Longer than what is read of a body before it is passed on. */
const longBodyBytes = 100_000;

/** Time to receive the large answer, many pieces at a time. */
const largeAnswerTimeoutMs = 15_000;

function requestOf(id: string, treatment: string, { fields = "", method = "GET", path = "/a/x", host = "Host: one.example\r\n" } = {}): Buffer {
    return Buffer.from(`${method} ${path} HTTP/1.1\r\n${host}Request-Id: ${id}\r\n${treatmentHeader}: ${treatment}\r\n${fields}\r\n`);
}

/** Reads answers until the connection ends, at most `count`; returns their statuses, with a `+` where the client is asked to close. */
async function readAnswers(client: RawClient, count: number): Promise<string[]> {
    const answers: ReceivedAnswer[] = [];
    while (answers.length < count) {
        const answer = await client.readAnswer();
        if (answer.status <= 0) {
            return [...describeAnswers(answers), answer.status === 0 ? "closed" : "nothing"];
        }
        answers.push(answer);
    }
    return describeAnswers(answers);
}

function describeAnswers(answers: readonly ReceivedAnswer[]): string[] {
    return answers.map(({ status, headers }) => `${String(status)}${headers["connection"] === "close" ? "+" : ""}`);
}

describe("the end of a client's connection", () => {
    let listener: ListenerUnderTest;
    let client: RawClient;

    beforeEach(async () => {
        listener = await startListener();
        client = await RawClient.connect(listener.port);
    });

    afterEach(() => {
        client.socket.destroy();
        listener.clients.close();
    });

    describe("when the host stops", () => {
        const cases: { name: string; sentAhead: Buffer[]; answers: string[] }[] = [
            {
                name: "two requests", sentAhead: [requestOf("r-1", "late"), requestOf("r-2", "very-late")],
                answers: ["200", "200+", "closed"],
            },
            {
                name: "three requests", sentAhead: [requestOf("r-1", "late"), requestOf("r-2", "very-late"), requestOf("r-3", "late")],
                answers: ["200", "200", "200+", "closed"],
            },
            {
                name: "an unknown route in the middle",
                sentAhead: [requestOf("r-1", "late"), requestOf("r-2", "late", { path: "/unknown" }), requestOf("r-3", "late")],
                answers: ["200", "404", "200+", "closed"],
            },
            {
                name: "a timeout of the first", sentAhead: [requestOf("r-1", "timed-out"), requestOf("r-2", "very-late")],
                answers: ["504", "200+", "closed"],
            },
            {
                name: "an upgrade at the end", sentAhead: [requestOf("r-1", "late"), requestOf("r-2", "late", { fields: "Upgrade: x\r\n" })],
                answers: ["200", "200+", "closed"],
            },
            {
                name: "input at the end that is no request", sentAhead: [requestOf("r-1", "late"), requestOf("r-2", "late"), Buffer.from("x\r\n\r\n")],
                answers: ["200", "200", "400+", "closed"],
            },
        ];
        for (const { name, sentAhead, answers } of cases) {
            // Guards against requests lost behind an answer that closes their connection (review/8).
            it(`comes with the last answer to what was sent ahead: ${name}`, async () => {
                await client.write(Buffer.concat(sentAhead));
                await sleep(readMs);
                listener.clients.startClosingConnections();
                expect(await readAnswers(client, answers.length)).to.deep.equal(answers);
            });
        }

        // Guards against the loss of an answer that was ready before the stop, behind one that was not.
        it("waits for an answer that was ready before, behind one that was not", async () => {
            await client.write(requestOf("r-1", "late"), requestOf("r-2", "served"));
            await sleep(readMs);
            listener.clients.startClosingConnections();
            expect(await readAnswers(client, 2)).to.deep.equal(["200", "200"]);
            listener.clients.stopAccepting();
            expect(await readAnswers(client, 1)).to.deep.equal(["closed"]);
        });

        it("comes once all is answered, if the last answer was ready before", async () => {
            await client.write(requestOf("r-1", "late"), requestOf("r-2", "served"));
            await sleep(readMs);
            listener.clients.startClosingConnections();
            listener.clients.stopAccepting();
            expect(await readAnswers(client, 3)).to.deep.equal(["200", "200", "closed"]);
        });

        // Guards against a request that runs although its client sends it again, since it came behind an answer that closes.
        it("leaves unread what comes behind the last answer", async () => {
            await client.write(requestOf("r-1", "late"), requestOf("r-2", "served"));
            await sleep(readMs);
            listener.clients.startClosingConnections();
            await client.write(requestOf("r-3", "served"));
            await sleep(readMs);
            await client.write(requestOf("r-4", "served"));
            expect(await readAnswers(client, 4)).to.deep.equal(["200", "200", "200+", "closed"]);
            expect(listener.servedIds).to.deep.equal(["r-1", "r-2", "r-3"]);
        });

        it("comes, from the end of accepting on, with what has been read by then", async () => {
            await client.write(requestOf("r-1", "late"));
            await sleep(readMs);
            listener.clients.startClosingConnections();
            listener.clients.stopAccepting();
            await client.write(requestOf("r-2", "served"));
            expect(await readAnswers(client, 2)).to.deep.equal(["200+", "closed"]);
            expect(listener.servedIds).to.deep.equal(["r-1"]);
        });

        // Guards against an answer that is cut off, since Node.js takes its connection for idle once it is handed over.
        it("waits for a client that is still reading a large answer", async () => {
            client.socket.pause();
            await client.write(requestOf("r-1", "large"));
            await sleep(lateMs);
            listener.clients.startClosingConnections();
            listener.clients.stopAccepting();
            await sleep(readMs);
            client.socket.resume();
            const { status, body } = await client.readAnswer("GET", largeAnswerTimeoutMs);
            expect({ status, bytes: body.length }).to.deep.equal({ status: 200, bytes: largeAnswerBytes });
        });

        it("comes at once if nothing is due", async () => {
            await client.write(requestOf("r-1", "served"));
            expect(await readAnswers(client, 1)).to.deep.equal(["200"]);
            listener.clients.startClosingConnections();
            listener.clients.stopAccepting();
            expect(await readAnswers(client, 1)).to.deep.equal(["closed"]);
        });
    });

    it("comes with the first answer on a connection that was not used before the host stopped", async () => {
        listener.clients.startClosingConnections();
        listener.clients.stopAccepting();
        await client.write(requestOf("r-1", "served"));
        expect(await readAnswers(client, 2)).to.deep.equal(["200+", "closed"]);
    });

    it("comes when the client asks for it, whatever it sends behind", async () => {
        await client.write(requestOf("r-1", "late"));
        await client.write(Buffer.concat([requestOf("r-2", "late", { fields: "Connection: close\r\n" }), requestOf("r-3", "served")]));
        expect(await readAnswers(client, 3)).to.deep.equal(["200", "200+", "closed"]);
        expect(listener.servedIds).to.deep.equal(["r-1", "r-2"]);
    });

    // Guards against an answer that closes the connection before the requests behind it in the same piece of input were parsed.
    it("comes with the last of several requests that are refused while they are read", async () => {
        const full = await startListener(undefined, { maxBytes: 1 });
        const refused = await RawClient.connect(full.port);
        full.clients.startClosingConnections();
        await refused.write(Buffer.concat([requestOf("r-1", "served"), requestOf("r-2", "served")]));
        expect(await readAnswers(refused, 3)).to.deep.equal(["503", "503+", "closed"]);
        refused.socket.destroy();
        full.clients.close();
    });

    for (const version of ["1.0", "1.1"]) {
        for (const [treatment, name] of [["broken-off", "breaks off"], ["part", "is not complete when the stop of the host ends"]] as const) {
            // Guards against a part of an answer that passes for the whole, since in HTTP/1.0 its end is that of the connection.
            it(`is no orderly end of an answer without a length that ${name} (HTTP/${version})`, async () => {
                const errors: NodeJS.ErrnoException[] = [];
                client.socket.on("error", (error) => errors.push(error));
                await client.write(Buffer.from(requestOf("r-1", treatment).toString().replace("HTTP/1.1", `HTTP/${version}`)));
                await client.peekStatus();
                if (treatment === "part") {
                    listener.clients.close();
                }
                while (!client.closed) {
                    await sleep(readMs);
                }
                const isMarkedByChunks = client.unread.includes("chunked") && !client.unread.includes("\r\n0\r\n");
                expect(isMarkedByChunks || errors[0]?.code === "ECONNRESET").to.equal(true);
            });
        }
    }

    // Guards against requests that are passed on behind a refusal that closes their connection, and are lost with it.
    it("leaves unread what comes behind a request that is not accepted", async () => {
        await client.write(Buffer.concat([requestOf("r-1", "late"), requestOf("r-2", "served", { host: "" }), requestOf("r-3", "served")]));
        expect(await readAnswers(client, 3)).to.deep.equal(["200", "400+", "closed"]);
        expect(listener.servedIds).to.deep.equal(["r-1"]);
    });

    // Guards against the loss of requests in progress before one whose body has stopped.
    it("waits for the answers that are due before a request whose body stalls", async () => {
        const impatient = await startListener(undefined, { stallMs });
        const staller = await RawClient.connect(impatient.port);
        await staller.write(requestOf("r-1", "very-late"), requestOf("r-2", "served", { method: "POST", fields: "Content-Length: 10\r\n" }));
        expect(await readAnswers(staller, 3)).to.deep.equal(["200", "408+", "closed"]);
        staller.socket.destroy();
        impatient.clients.close();
    });

    it("waits for the answers that are due before a request whose long body stalls after a part of it was passed on", async () => {
        const impatient = await startListener(undefined, { stallMs });
        const staller = await RawClient.connect(impatient.port);
        const framing = `Content-Length: ${String(4 * longBodyBytes)}\r\n`;
        await staller.write(requestOf("r-1", "very-late"), requestOf("r-2", "served", { method: "POST", fields: framing }), Buffer.alloc(longBodyBytes));
        expect(await readAnswers(staller, 2)).to.deep.equal(["200", "closed"]);
        staller.socket.destroy();
        impatient.clients.close();
    });
});
