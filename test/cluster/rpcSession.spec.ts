import { expect } from "chai";
import type { RpcMessage } from "../../src/cluster/rpcSession.js";
import { RpcSession } from "../../src/cluster/rpcSession.js";

/** Creates two connected sessions; `sent` collects the messages of both. */
function createPair(): { caller: RpcSession; callee: RpcSession; sent: RpcMessage[] } {
    const sent: RpcMessage[] = [];
    const caller: RpcSession = new RpcSession((message) => {
        sent.push(message);
        callee.receive(message);
    });
    const callee: RpcSession = new RpcSession((message) => {
        sent.push(message);
        caller.receive(message);
    });
    return { caller, callee, sent };
}

describe("RPC session", () => {
    it("matches responses with their calls in any order", async () => {
        const { caller, callee } = createPair();
        const answers: ((value: string) => void)[] = [];
        callee.registerMethod("wait", () => new Promise((resolve) => answers.push(resolve)));
        const [first, second] = [caller.request("wait", {}, 1_000), caller.request("wait", {}, 1_000)];
        answers[1]?.("second");
        answers[0]?.("first");
        expect(await first).to.equal("first");
        expect(await second).to.equal("second");
        expect(caller.pendingCount).to.equal(0);
    });

    it("speaks JSON-RPC 2.0", async () => {
        const { caller, callee, sent } = createPair();
        callee.registerMethod("double", (params) => (params as { of: number }).of * 2);
        await caller.request("double", { of: 4 }, 1_000);
        caller.notify("double", { of: 5 });
        expect(sent).to.deep.equal([
            { jsonrpc: "2.0", id: 1, method: "double", params: { of: 4 } },
            { jsonrpc: "2.0", id: 1, result: 8 },
            { jsonrpc: "2.0", method: "double", params: { of: 5 } },
        ]);
    });

    it("reports errors of handlers and calls of unknown methods to the caller", async () => {
        const { caller, callee } = createPair();
        callee.registerMethod("fail", () => {
            throw new Error("queue is full");
        });
        expect(await failureOf(caller.request("fail", {}, 1_000))).to.equal("queue is full");
        expect(await failureOf(caller.request("other", {}, 1_000))).to.equal("no method other");
    });

    it("fails a call on timeout, and every pending call when the session ends", async () => {
        const silent = new RpcSession(() => undefined);
        expect(await failureOf(silent.request("wait", {}, 5))).to.equal("timed out");
        const pending = failureOf(silent.request("wait", {}, 60_000));
        silent.close("the connection closed");
        expect(await pending).to.equal("the connection closed");
        expect(silent.pendingCount).to.equal(0);
    });

    it("ignores values that are no message, and responses to unknown calls", () => {
        const session = new RpcSession(() => {
            throw new Error("unexpected message sent");
        });
        for (const message of [undefined, 7, "text", [], {}, { id: 9, result: 1 }, { id: "x", error: { code: 1, message: "" } }]) {
            session.receive(message);
        }
        expect(session.pendingCount).to.equal(0);
    });
});

function failureOf(call: Promise<unknown>): Promise<string> {
    return call.then(() => "answered", (error: unknown) => (error as Error).message);
}
