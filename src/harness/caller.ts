/** A caller of the entry hosts, for the demo, tests and benchmarks. */
import http from "node:http";
import { v7 as newOrderedUuid } from "uuid";
import { callHttp } from "../adapters/httpJson.js";

const callTimeoutMs = 8_000;
const maxAnswerBytes = 16_777_216;

/** What a caller was told. */
export interface CallerAnswer {
    status: number;
    /** `done`, `not-run` or `unknown`; `lost` when no answer came. */
    outcome: string;
    body: string;
    server?: string;
    retryAfterMs?: number;
}

/** Calls entry hosts over connections that are kept. */
export class Caller {
    private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 512 });

    /**
     * Reads a key.
     * @param entryUrl entry host
     * @param pool such as `hladvarmi/status`
     * @param key the key
     * @param deadlineWallMs when to give up
     */
    read(entryUrl: string, pool: string, key: string, deadlineWallMs?: number): Promise<CallerAnswer> {
        return this.call("GET", `${entryUrl}/v1/${pool}/keys/${key}`, undefined, deadlineHeader(deadlineWallMs));
    }

    /**
     * Gives an order.
     * @param entryUrl entry host
     * @param pool such as `hladvarmi/status`
     * @param key the key
     * @param orderId id of the order
     * @param body what to do
     * @param deadlineWallMs when to give up
     */
    order(entryUrl: string, pool: string, key: string, orderId: string, body: string, deadlineWallMs?: number): Promise<CallerAnswer> {
        const headers = { ...deadlineHeader(deadlineWallMs), "hornbeam-order-id": orderId };
        return this.call("POST", `${entryUrl}/v1/${pool}/keys/${key}/orders`, body, headers);
    }

    /** Reads a list from an export. */
    list(entryUrl: string, pool: string, list: string): Promise<CallerAnswer> {
        return this.call("GET", `${entryUrl}/v1/${pool}/lists/${list}`);
    }

    /** Writes meter reads to an archive. */
    meterReads(entryUrl: string, pool: string, body: string): Promise<CallerAnswer> {
        return this.call("POST", `${entryUrl}/v1/${pool}/meter-reads`, body);
    }

    /** Closes the kept connections. */
    close(): void {
        this.agent.destroy();
    }

    private async call(method: "GET" | "POST", url: string, payload?: string, headers = {}): Promise<CallerAnswer> {
        const answer = await callHttp({
            method, url, payload, headers, maxAnswerBytes, timeoutMs: callTimeoutMs, agent: this.agent, step: "peer-call", peer: url,
        });
        return answer.match(
            ({ status, headers: received, body }) => ({
                status,
                outcome: String(received["hornbeam-outcome"] ?? ""),
                body: body.toString(),
                server: received["hornbeam-server"] as string | undefined,
                retryAfterMs: Number(received["hornbeam-retry-after-ms"] ?? 0),
            }),
            (failed) => ({ status: 0, outcome: "lost", body: failed.message }),
        );
    }
}

/** Creates an order id for now. */
export function newOrderId(): string {
    return newOrderedUuid();
}

function deadlineHeader(deadlineWallMs: number | undefined): Record<string, string> {
    return deadlineWallMs === undefined ? {} : { "hornbeam-deadline": new Date(deadlineWallMs).toISOString() };
}
