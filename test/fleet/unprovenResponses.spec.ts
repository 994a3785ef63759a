import type net from "node:net";
import { expect } from "chai";
import type { ClientAnswer, Fleet, FleetHost } from "./fleet.js";
import { fetchAdminPage, paths, send, sleep } from "./fleet.js";
import { useScriptedFleet, writePath } from "./scriptedFleet.js";
import type { ScriptedTarget } from "./scriptedTarget.js";
import { answerBytes, signedAnswer } from "./scriptedTarget.js";

const bytesStreamed = 300_000;

/** What a target writes in response to a request. */
type Write = (socket: net.Socket, requestId: string) => void;

const bytes = (format: (requestId: string) => string): Write => (socket, requestId) => {
    socket.write(format(requestId));
};

/** Responses that no target proves; the status is the one that clients must get instead. */
const unproven: Record<string, { write: Write; expectedStatus: number }> = {
    ...Object.fromEntries([302, 400, 401, 403, 404, 408, 409, 429, 500, 503].map((status) => [
        `status ${String(status)} without signature`,
        { write: bytes((id) => answerBytes(id, status, [], "x")), expectedStatus: 502 },
    ])),
    "a status 404 with an empty signature": { write: bytes((id) => answerBytes(id, 404, ["Response-Signature: "], "x")), expectedStatus: 502 },
    "a long status 404 without signature": {
        write: bytes((id) => answerBytes(id, 404, [], "x".repeat(bytesStreamed))), expectedStatus: 502,
    },
    "a status 404 of another request": {
        write: (socket) => socket.end(signedAnswer("another", "x", 404)), expectedStatus: 502,
    },
    "a signed status 404 without an id": {
        write: (socket) => socket.end("HTTP/1.1 404 Not Found\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n"), expectedStatus: 502,
    },
    // Guards against answers of a target in trouble whose status is none of HTTP.
    ...Object.fromEntries(["000", "001", "099", "600", "999", "20", "2000"].map((status) => [
        `a signed status ${status}`, { write: bytes((id) => signedAnswer(id, "x").replace("200", status)), expectedStatus: 502 },
    ])),
    "a status 101 before a signed one": {
        write: bytes((id) => `HTTP/1.1 101 Switching Protocols\r\n\r\n${signedAnswer(id, "x")}`), expectedStatus: 502,
    },
    "bytes that are no response": { write: bytes(() => "hello\r\n\r\n"), expectedStatus: 502 },
    "a head with control characters": {
        write: bytes((id) => answerBytes(id, 404, [`Response-Signature: s${id}`, "X: a\u0001b"], "x")), expectedStatus: 502,
    },
    "a reason phrase with control characters": {
        write: bytes((id) => signedAnswer(id, "x", 404).replace("Some", "So\u0007me")), expectedStatus: 502,
    },
    "a head that breaks off": { write: (socket, id) => socket.end(signedAnswer(id, "x", 404).slice(0, 40)), expectedStatus: 502 },
    "a head that ends by a reset": {
        write: (socket, id) => {
            socket.write(signedAnswer(id, "x", 404).slice(0, 40));
            setTimeout(() => socket.resetAndDestroy(), 10);
        },
        expectedStatus: 502,
    },
    "a status 400 that says that nothing ran": { write: bytes((id) => answerBytes(id, 400, ["Not-Executed: 1"], "")), expectedStatus: 503 },
    "a status 404 that says that nothing ran, without an id": {
        write: bytes(() => "HTTP/1.1 404 Not Found\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"), expectedStatus: 503,
    },
    "a status 421, by which another process at the address says that nothing ran": {
        write: bytes((id) => answerBytes(id, 421, [], "")), expectedStatus: 503,
    },
    "a status 421 without an id": { write: bytes(() => "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"), expectedStatus: 503 },
};

describe("a response that its target doesn't prove", function () {
    this.timeout(30_000);
    let fleet: Fleet;
    let target: ScriptedTarget;
    let host: FleetHost;

    useScriptedFleet((started) => {
        ({ fleet, target, host } = started);
    });

    const request = async (path: string, id: string, write: Write): Promise<ClientAnswer> => {
        target.react = (socket, { requestId }) => {
            write(socket, requestId);
        };
        return send(host, { id, path: `${path}x`, method: path === writePath ? "POST" : "GET", budgetMs: 2_000 });
    };

    for (const [what, { write, expectedStatus }] of Object.entries(unproven)) {
        it(`is not passed on to the client: ${what}`, async () => {
            for (const path of [writePath, paths.list]) {
                const answer = await request(path, `${path}-${what.replaceAll(/[^a-z0-9]+/g, "-")}`, write);
                expect([answer.status, answer.headers["response-signature"]], path).to.deep.equal([expectedStatus, undefined]);
            }
        });
    }

    it("leaves a line that names the request, the target and the status", async () => {
        await request(writePath, "id-of-unproven", unproven["status 404 without signature"]!.write);
        await sleep(300);
        const line = fleet.logs().join("").split("\n").find((text) => text.includes("response without proof") && text.includes("\"id-of-unproven\""));
        expect(JSON.parse(line ?? "{}")).to.include({ request: "id-of-unproven", target: "scripted", status: 404 });
        expect(await fetchAdminPage(host, "/metrics")).to.match(/hornbeam_unproven_responses_total\{target="scripted",status="404"\} [1-9]/);
    });

    for (const status of [200, 302, 400, 404, 500]) {
        it(`is told apart from a signed one with status ${String(status)}, which is passed on unchanged`, async () => {
            const answer = await request(writePath, `signed-${String(status)}`, bytes((id) => signedAnswer(id, "of the target", status)));
            expect([answer.status, answer.body, answer.headers["response-signature"]])
                .to.deep.equal([status, "of the target", `signed-signed-${String(status)}`]);
        });
    }
});
