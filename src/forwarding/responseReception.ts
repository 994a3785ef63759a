/** Receives the response of an attempt: buffers a short one, and streams a long one to the client. */
import type { AnswerHead, ClientCall } from "../entry/clientCall.js";
import { withoutHopByHop } from "../entry/hopByHop.js";
import type { AttemptEnd } from "./attemptEnds.js";
import type { AttemptDependencies, AttemptProgress, AttemptRequest } from "./attemptRequest.js";
import { ByteBuffer } from "../model/byteBuffer.js";
import { endAfterSending } from "./endsByInterrupt.js";
import type { Exchange } from "./exchange.js";
import type { Interrupt, InterruptReason } from "./interrupt.js";
import type { ResponseHead } from "./responseHead.js";
import { headerOf } from "./responseHead.js";

/** A response body up to this size is buffered until it is complete, so that the request can be retried if the response breaks off. */
const maxBufferedAnswerBytes = 262_144;

/** Limit on the bytes read from the body of a rejection. */
const maxRejectionBodyBytes = 65_536;

/** Limit on the body of a response without a Content-Length; a longer one is treated as never ending. */
const maxUnknownLengthBytes = 67_108_864;

/** A response whose head has arrived. */
export interface IncomingResponse {
    exchange: Exchange;
    head: ResponseHead;
    interrupt: Interrupt;
    progress: AttemptProgress;
}

/** Receives a response to its end, at most until the attempt is interrupted. */
export async function receiveResponse(
    dependencies: AttemptDependencies, { call, target }: AttemptRequest, response: IncomingResponse,
): Promise<AttemptEnd> {
    const { exchange, head, interrupt } = response;
    const responseClass = dependencies.dialect.classify(head);
    if (responseClass === "unproven") {
        dependencies.onUnproven(target, call, head.status);
        return { kind: "lost", why: `response of status ${String(head.status)} has no signature` };
    }
    if (responseClass === "not-run") {
        await interrupt.unlessRaised(() => drainBody(exchange));
        return { kind: "turned-away", status: head.status, pauseMs: dependencies.dialect.noticeOf(head).pauseMs };
    }
    return receiveBody(call, response);
}

async function receiveBody(call: ClientCall, { exchange, head, interrupt, progress }: IncomingResponse): Promise<AttemptEnd> {
    const buffered = new ByteBuffer();
    let receivedBytes = 0;
    const maxBytes = contentLengthOf(head) ?? maxUnknownLengthBytes;
    for (;;) {
        const piece = await interrupt.unlessRaised(() => exchange.read());
        if (typeof piece === "string") {
            return endByInterrupt(call, progress, piece);
        }
        if (piece.isErr()) {
            return breakOff(call, progress, piece.error.message);
        }
        if (piece.value === undefined) {
            return finishResponse(call, head, buffered, progress.isStreaming);
        }
        receivedBytes += piece.value.length;
        if (receivedBytes > maxBytes) {
            return breakOff(call, progress, "response body exceeds the size limit");
        }
        const { value } = piece;
        if (progress.isStreaming) {
            await interrupt.unlessRaised(() => call.writeAnswer(value));
            continue;
        }
        buffered.append(value, 0, value.length);
        if (buffered.byteCount > maxBufferedAnswerBytes) {
            interrupt.preventGiveUp();
            const interrupted = await interrupt.unlessRaised(() => call.awaitTurn());
            if (interrupted !== undefined) {
                return endByInterrupt(call, progress, interrupted);
            }
            call.beginAnswer(answerHeadOf(head, contentLengthOf(head)));
            progress.isStreaming = true;
            await interrupt.unlessRaised(() => call.writeAnswer(buffered.takeAll()));
        }
    }
}

function endByInterrupt(call: ClientCall, { isStreaming }: AttemptProgress, reason: InterruptReason): AttemptEnd {
    const brokenOff = isStreaming ? abortAnswer(call, reason) : undefined;
    return reason === "client-left" ? endAfterSending[reason] : brokenOff ?? endAfterSending[reason];
}

function breakOff(call: ClientCall, { isStreaming }: AttemptProgress, why: string): AttemptEnd {
    return isStreaming ? abortAnswer(call, why) : { kind: "lost", why };
}

function abortAnswer(call: ClientCall, why: string): AttemptEnd {
    call.abortAnswer();
    return { kind: "broken-off", why };
}

function finishResponse(call: ClientCall, head: ResponseHead, buffered: ByteBuffer, isStreaming: boolean): AttemptEnd {
    if (isStreaming) {
        call.finishAnswer();
        return { kind: "streamed", status: head.status, tookMs: 0 };
    }
    const body = buffered.takeAll();
    const bodyBytes = call.method === "HEAD" ? contentLengthOf(head) : body.length;
    return { kind: "answered", answer: { head: answerHeadOf(head, bodyBytes), body }, tookMs: 0 };
}

/** Reads the body of a rejection, so that the connection can be reused. Stops at the size limit. */
async function drainBody(exchange: Exchange): Promise<void> {
    for (let readBytes = 0; readBytes < maxRejectionBodyBytes;) {
        const piece = await exchange.read();
        if (piece.isErr() || piece.value === undefined) {
            return;
        }
        readBytes += piece.value.length;
    }
}

const noHeaders: ReadonlySet<string> = new Set();

function answerHeadOf(head: ResponseHead, bodyBytes: number | undefined): AnswerHead {
    return { status: head.status, reasonPhrase: head.reasonPhrase, rawHeaders: withoutHopByHop(head.rawHeaders, noHeaders), bodyBytes };
}

function contentLengthOf(head: ResponseHead): number | undefined {
    const length = headerOf(head.rawHeaders, "content-length");
    return length === undefined ? undefined : Number(length);
}
