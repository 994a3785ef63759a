/** The operators' interface of the hosts, over HTTP. */
import type { DumpPort, HostDump } from "../control/session.js";
import { callJson } from "./httpJson.js";

const callTimeoutMs = 1_500;
const maxDumpBytes = 67_108_864;

/**
 * Creates the port to the hosts' dumps.
 * @returns the port
 */
export function createDumpHttp(): DumpPort {
    return {
        dump: (host) => callJson<HostDump>({
            method: "GET", url: `http://${host.adminAddress}/dump`, step: "peer-call", peer: host.hostId,
            timeoutMs: callTimeoutMs, maxAnswerBytes: maxDumpBytes,
        }),
    };
}
