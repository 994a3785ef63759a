/** Writes a client's request to a target: its head, and a body that is streamed. */
import type { ClientCall } from "../entry/clientCall.js";
import { withoutHeaders } from "../entry/hopByHop.js";
import type { AttemptRequest } from "./attemptRequest.js";
import type { TargetDialect } from "./dialect.js";
import type { Exchange } from "./exchange.js";

/** Streams the request body from the client to the target. */
export async function sendBody(call: ClientCall, exchange: Exchange): Promise<"sent" | "body-broken"> {
    const chunked = call.body.declaredBytes === undefined;
    for (;;) {
        const piece = await call.body.next();
        if (piece === "broken") {
            return "body-broken";
        }
        if (piece === undefined) {
            await exchange.write(Buffer.from(chunked ? "0\r\n\r\n" : ""));
            exchange.finishBody();
            return "sent";
        }
        await exchange.write(chunked ? toChunk(piece) : piece);
    }
}

function toChunk(piece: Buffer): Buffer {
    return Buffer.concat([Buffer.from(`${piece.length.toString(16)}\r\n`), piece, Buffer.from("\r\n")]);
}

/** Returns the request line and the headers, including the empty line after them. */
export function requestHeadOf(dialect: TargetDialect, { call, target, body, budgetMs }: AttemptRequest): string {
    const terms = { requestId: call.requestId, key: call.key, targetId: target.targetId, budgetMs };
    const forwarded = withoutHeaders(call.forwardHeaders, dialect.reservedHeaders);
    const headers = [...forwarded, ...dialect.headersFor(terms), ...bodyHeadersOf(call, body)];
    let head = `${call.method} ${call.path} HTTP/1.1\r\n`;
    for (let index = 0; index < headers.length; index += 2) {
        head += `${headers[index] as string}: ${headers[index + 1] as string}\r\n`;
    }
    return `${head}\r\n`;
}

function bodyHeadersOf(call: ClientCall, body: Buffer | undefined): string[] {
    const bytes = body === undefined ? call.body.declaredBytes : body.length;
    if (bytes === undefined) {
        return ["Transfer-Encoding", "chunked"];
    }
    return bytes === 0 && (call.method === "GET" || call.method === "HEAD") ? [] : ["Content-Length", String(bytes)];
}
