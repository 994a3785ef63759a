/** Creates the listener for clients with the components of a host. */
import type { DependencyContainer } from "tsyringe";
import { RequestNotRunError } from "../entry/clientCall.js";
import type { ClientHttp } from "../entry/clientHttp.js";
import { createClientHttp } from "../entry/clientHttp.js";
import { maxConfigAgeMs } from "../forwarding/requestPreparation.js";
import { createDenialRecorder, createLimitRecorder } from "../observe/denialRecorder.js";
import { createAcceptBacklogRecorder, createAcceptErrorRecorder } from "../observe/listenerRecorder.js";
import { tokens } from "./tokens.js";

const maxLoggedPathChars = 200;

const bytesPerMb = 1_048_576;

/** Share of the file descriptors that connections of clients may take; targets, other hosts and the store need the rest. */
const clientFileShare = 0.5;

/**
 * Creates the listener.
 * @param from container with the components of the host
 */
export function createClientListener(from: DependencyContainer): ClientHttp {
    const settings = from.resolve(tokens.settings);
    const daemonSettings = from.resolve(tokens.daemonSettings);
    const log = from.resolve(tokens.logFactory)("clients");
    return createClientHttp({
        dialects: from.resolve(tokens.clientDialects),
        clock: from.resolve(tokens.clock),
        serve: (call) => from.resolve(tokens.forwarder).serve(call),
        areLimitsConfirmed: (nowMs) => from.resolve(tokens.node).configAgeMs(nowMs) <= maxConfigAgeMs,
        onDenied: createDenialRecorder(log, from.resolve(tokens.metrics)),
        holdingLimits: {
            maxBytes: settings.memoryMb * bytesPerMb * daemonSettings.clientMemoryShare,
            maxConnections: Math.max(1, Math.floor(settings.maxOpenFiles * clientFileShare)),
            maxPipelined: daemonSettings.clientPipelined,
            minBytesPerSecond: daemonSettings.clientMinRate,
            stallMs: daemonSettings.clientStallMs,
            maxOverheadBytes: daemonSettings.clientOverheadBytes,
        },
        onLimit: createLimitRecorder(log, from.resolve(tokens.metrics)),
        onAcceptBacklog: createAcceptBacklogRecorder("clients", log, from.resolve(tokens.metrics)),
        doPeersWait: () => from.resolve(tokens.peerAcceptBacklog).mayExist(),
        onAcceptError: createAcceptErrorRecorder(log, from.resolve(tokens.metrics)),
        onUnexpectedError: (error, { requestId, method, path }) => {
            const cause = error instanceof Error ? error.cause ?? error : error;
            log.error("unexpected error", {
                request: requestId, method, path: path.slice(0, maxLoggedPathChars), notRun: error instanceof RequestNotRunError,
                why: cause instanceof Error ? cause.stack : String(cause),
            });
        },
    });
}
