import { once } from "node:events";
import net from "node:net";
import { expect } from "chai";
import { platformClientDialect } from "../../platform/dialect.js";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import type { Denial } from "../../src/entry/clientConnection.js";
import type { ClientHttp } from "../../src/entry/clientHttp.js";
import { createClientHttp } from "../../src/entry/clientHttp.js";
import { createDenialRecorder } from "../../src/observe/denialRecorder.js";
import type { LogFields } from "../../src/observe/log.js";
import { createMetrics } from "../../src/observe/metrics.js";
import { freePort } from "./listenerClient.js";
import { holdingLimits, ignoredEvents, limits } from "./listenerUnderTest.js";

const clock = createSystemClock();
const proper = "GET /a/ HTTP/1.1\r\nHost: x\r\n\r\n";
const okBody = Buffer.from("ok");

describe("denials of the listener", () => {
    let clients: ClientHttp;
    let port: number;
    let denials: Denial[];

    beforeEach(async () => {
        denials = [];
        clients = createClientHttp({
            areLimitsConfirmed: () => true, holdingLimits, ...ignoredEvents,
            dialects: [platformClientDialect], clock,
            serve: (call) => {
                call.answer({ status: 200, reasonPhrase: "OK", rawHeaders: [], bodyBytes: okBody.length }, okBody);
                return Promise.resolve();
            },
            onDenied: (denial) => denials.push(denial),
            onUnexpectedError: () => undefined,
        });
        clients.setLimits(limits);
        port = await freePort();
        (await clients.listen(`127.0.0.1:${String(port)}`, 0))._unsafeUnwrap();
    });

    afterEach(() => {
        clients.close();
    });

    /** Sends a proper request and then bytes on one connection; returns the status of the second answer. */
    async function sendAfterProper(bytes: string): Promise<number> {
        const socket = net.connect(port, "127.0.0.1", () => socket.write(proper));
        await once(socket, "data");
        socket.write(bytes);
        const [answer] = await once(socket, "data") as [Buffer];
        socket.destroy();
        return Number(answer.toString().slice(9, 12));
    }

    const cases: { name: string; bytes: string; status: number; expected: Partial<Denial> }[] = [
        {
            name: "bytes that are no request", bytes: "GET /a/\u0001b HTTP/1.1\r\nHost: x\r\n\r\n", status: 400,
            expected: {
                reason: "malformed", parserCode: "HPE_INVALID_URL", excerpt: "GET /a/\\x01b HTTP/1.1\\x0d\\x0aHost: x\\x0d\\x0a\\x0d\\x0a",
            },
        },
        {
            name: "a header section over the limit", bytes: `GET /a/ HTTP/1.1\r\nHost: x\r\nX: ${"x".repeat(20_000)}\r\n\r\n`, status: 431,
            expected: { reason: "header-too-large", parserCode: "HPE_HEADER_OVERFLOW", maxHeaderBytes: 16_384 },
        },
        { name: "a request without Host", bytes: "GET /a/ HTTP/1.1\r\n\r\n", status: 400, expected: { reason: "no-host-header" } },
        {
            name: "an expectation that is not known", bytes: "GET /a/ HTTP/1.1\r\nHost: x\r\nExpect: more\r\n\r\n", status: 417,
            expected: { reason: "unknown-expectation" },
        },
    ];
    for (const { name, bytes, status, expected } of cases) {
        it(`are reported with their connection: ${name}`, async () => {
            expect(await sendAfterProper(bytes)).to.equal(status);
            expect(denials).to.have.length(1);
            expect(denials[0]).to.deep.include({ status, ...expected });
            expect(denials[0]?.connection).to.include({ earlierRequestCount: 1, openedWithMaxHeaderBytes: 16_384 });
            expect(denials[0]?.connection.receivedBytes).to.be.above(proper.length);
            expect(denials[0]?.connection.clientAddress).to.match(/^127\.0\.0\.1:[0-9]+$/);
        });
    }

    it("leave one log line each, and are counted by status and reason", async () => {
        const lines: { event: string; fields: LogFields | undefined }[] = [];
        const write = (event: string, fields?: LogFields) => {
            lines.push({ event, fields });
        };
        const metrics = createMetrics();
        await sendAfterProper("GET /a/ HTTP/1.1\r\n\r\n");
        denials.forEach(createDenialRecorder({ info: write, warn: write, error: write }, metrics));
        expect(lines.map(({ event }) => event)).to.deep.equal(["input denied"]);
        expect(lines[0]?.fields).to.include({ reason: "no-host-header", status: 400, earlierRequestCount: 1 });
        expect(await metrics.text()).to.include("hornbeam_refusals_total{status=\"400\",reason=\"no-host-header\"} 1");
    });
});
