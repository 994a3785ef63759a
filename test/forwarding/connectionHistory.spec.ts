import { expect } from "chai";
import fc from "fast-check";
import type { RequestTraits } from "../../src/forwarding/connectionHistory.js";
import { ConnectionHistory } from "../../src/forwarding/connectionHistory.js";
import type { ResponseMatch } from "../../src/forwarding/dialect.js";
import type { RequestId } from "../../src/model/names.js";

function read(id: string): RequestTraits {
    return { method: "GET", requestId: id as RequestId, idempotent: true };
}

function headRead(id: string): RequestTraits {
    return { method: "HEAD", requestId: id as RequestId, idempotent: true };
}

function order(id: string): RequestTraits {
    return { method: "POST", requestId: id as RequestId, idempotent: false };
}

/** A response on its way, with the request that it really is for. */
interface Response {
    answers: RequestTraits;
    isNamed: boolean;
}

type Step =
    | { kind: "send"; request: RequestTraits }
    /** The target answers the oldest request that it has not answered. */
    | { kind: "answer"; isNamed: boolean }
    /** The target writes one of its responses once more. */
    | { kind: "copy"; index: number };

const idArbitrary = fc.integer({ min: 0, max: 5 }).map((number) => `r${String(number)}`);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
    fc.record({ kind: fc.constant("send" as const), request: fc.oneof(...[read, headRead, order].map((create) => idArbitrary.map(create))) }),
    fc.record({ kind: fc.constant("answer" as const), isNamed: fc.boolean() }),
    fc.record({ kind: fc.constant("copy" as const), index: fc.nat(9) }),
);

function matchOf({ answers, isNamed }: Response, request: RequestTraits): ResponseMatch {
    if (!isNamed) {
        return "unnamed-rejection";
    }
    return answers.requestId === request.requestId ? "named" : "other";
}

/** Plays steps on a connection until it is closed; returns what each request took for its answer. */
function play(steps: readonly Step[]): { request: RequestTraits; taken: Response }[] {
    const history = new ConnectionHistory();
    const due: RequestTraits[] = [];
    const written: Response[] = [];
    const ended: { request: RequestTraits; taken: Response }[] = [];
    let current: RequestTraits | undefined;

    /** Returns whether the connection stays open. */
    const receive = (response: Response): boolean => {
        const use = current === undefined ? "close" : history.recordResponse(matchOf(response, current));
        if (current === undefined || use === "close") {
            return false;
        }
        expect(use === "answer-without-body", "framed as it was sent").to.equal(response.answers.method === "HEAD");
        if (use === "skip") {
            return true;
        }
        ended.push({ request: current, taken: response });
        current = undefined;
        return !history.isSpent;
    };

    const responseOf = (step: Exclude<Step, { kind: "send" }>): Response | undefined => {
        if (step.kind === "copy") {
            return written[step.index];
        }
        const answers = due.shift();
        const response = answers === undefined ? undefined : { answers, isNamed: step.isNamed };
        written.push(...response === undefined ? [] : [response]);
        return response;
    };

    for (const step of steps) {
        if (step.kind === "send") {
            if (current === undefined && history.mayCarry(step.request, 0)) {
                current = step.request;
                history.recordSent(step.request);
                due.push(step.request);
            }
            continue;
        }
        const response = responseOf(step);
        if (response !== undefined && !receive(response)) {
            break;
        }
    }
    return ended;
}

describe("the history of a connection to a target", () => {
    // Guards against an answer that is another request's (review/11), and against a copy that is read with the framing of another answer.
    it("takes only its own response for the answer to an order, for any sequence of requests, copies and rejections", () => {
        fc.assert(fc.property(fc.array(stepArbitrary, { minLength: 4, maxLength: 30 }), (steps) => {
            for (const { request, taken } of play(steps)) {
                if (!request.idempotent || taken.isNamed) {
                    expect(taken.answers).to.equal(request);
                }
            }
        }), { numRuns: 20_000 });
    });

    it("carries requests one after another, with an idle time of less than a second before one that must not run twice", () => {
        const history = new ConnectionHistory();
        history.recordSent(read("r1"));
        expect(history.recordResponse("named")).to.equal("answer");
        expect(history.mayCarry(order("r2"), 999)).to.equal(true);
        expect(history.mayCarry(order("r2"), 1_000)).to.equal(false);
        expect(history.mayCarry(read("r2"), 60_000)).to.equal(true);
    });

    it("carries no request twice", () => {
        const history = new ConnectionHistory();
        history.recordSent(read("r1"));
        history.recordResponse("named");
        expect(history.mayCarry(read("r1"), 0)).to.equal(false);
        expect(history.mayCarry(order("r1"), 0)).to.equal(false);
    });

    it("carries only requests that may run again once a rejection without an id has arrived", () => {
        const history = new ConnectionHistory();
        history.recordSent(order("r1"));
        expect(history.isForIdempotentOnly).to.equal(false);
        expect(history.recordResponse("unnamed-rejection")).to.equal("answer");
        expect(history.isForIdempotentOnly).to.equal(true);
        expect([order("r2"), read("r2")].map((request) => history.mayCarry(request, 0))).to.deep.equal([false, true]);
    });

    it("ends after 1,000 requests, so that what it remembers stays small", () => {
        const history = new ConnectionHistory();
        for (let count = 0; count < 1_000; count++) {
            expect(history.isSpent).to.equal(false);
            history.recordSent(read(`r${String(count)}`));
        }
        expect(history.isSpent).to.equal(true);
        expect(history.mayCarry(read("r1000"), 0)).to.equal(false);
    });

    it("reads no rejection without an id if it may be for a HEAD request or for another", () => {
        const afterHead = new ConnectionHistory();
        afterHead.recordSent(headRead("r1"));
        expect(afterHead.recordResponse("named")).to.equal("answer-without-body");
        afterHead.recordSent(read("r2"));
        expect(afterHead.recordResponse("unnamed-rejection")).to.equal("answer");
        expect(afterHead.isSpent).to.equal(true);
        const beforeHead = new ConnectionHistory();
        beforeHead.recordSent(read("r1"));
        beforeHead.recordResponse("unnamed-rejection");
        expect([headRead("r2"), read("r2")].map((request) => beforeHead.mayCarry(request, 0))).to.deep.equal([false, true]);
    });

    it("skips no response that may be for a HEAD request before", () => {
        const history = new ConnectionHistory();
        history.recordSent(headRead("r1"));
        expect(history.recordResponse("other")).to.equal("skip");
        history.recordResponse("named");
        history.recordSent(read("r2"));
        expect(history.recordResponse("other")).to.equal("close");
    });

    it("does not tell requests without an id apart, whose target rejects them", () => {
        const history = new ConnectionHistory();
        history.recordSent({ method: "GET", requestId: undefined, idempotent: true });
        expect(history.recordResponse("unnamed-rejection")).to.equal("answer");
        expect(history.mayCarry({ method: "GET", requestId: undefined, idempotent: true }, 0)).to.equal(true);
    });
});
