/** The platform's log and host list over HTTP. */
import type { Result } from "neverthrow";
import type { Offset } from "../model/ids.js";
import type { Failure } from "../model/failure.js";
import type { HostListPort, ListedHost, LogPage, LogPort } from "../platform/logPort.js";
import { callJson } from "./httpJson.js";

const callTimeoutMs = 1_500;
const maxPageBytes = 16_777_216;
const pageRecords = 500;

/**
 * Creates the port to the platform's log.
 * @param baseUrl such as `http://10.0.0.1:7000`
 * @param host name of this host, for the log's own records
 * @returns the port
 */
export function createLogHttp(baseUrl: string, host: string): LogPort {
    const call = { timeoutMs: callTimeoutMs, maxAnswerBytes: maxPageBytes, peer: baseUrl, headers: { "hornbeam-host": host } };
    return {
        append: async (payload) => {
            const answer = await callJson<{ offset: Offset }>({
                ...call, method: "POST", url: `${baseUrl}/records`, payload, step: "log-append",
            });
            return answer.map(({ offset }) => offset);
        },
        read: (from, waitMs): Promise<Result<LogPage, Failure>> => callJson<LogPage>({
            ...call, method: "GET", step: "log-read", timeoutMs: callTimeoutMs + waitMs,
            url: `${baseUrl}/records?from=${String(from)}&limit=${String(pageRecords)}&waitMs=${String(waitMs)}`,
        }),
    };
}

/**
 * Creates the port to the platform's host list.
 * @param baseUrl such as `http://10.0.0.1:7001`
 * @returns the port
 */
export function createHostListHttp(baseUrl: string): HostListPort {
    return {
        list: () => callJson<ListedHost[]>({
            method: "GET", url: `${baseUrl}/hosts`, step: "host-list", peer: baseUrl,
            timeoutMs: callTimeoutMs, maxAnswerBytes: maxPageBytes,
        }),
    };
}
