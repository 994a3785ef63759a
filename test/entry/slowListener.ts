/** A listener whose requests take processor time, as on a host that is late with its work. */
import { createSystemClock } from "../../src/adapters/systemClock.js";
import { platformClientDialect } from "../../platform/dialect.js";
import type { ClientCall } from "../../src/entry/clientCall.js";
import type { ClientHttp, ClientHttpDependencies } from "../../src/entry/clientHttp.js";
import { createClientHttp } from "../../src/entry/clientHttp.js";
import { freePort } from "./listenerClient.js";
import { holdingLimits, ignoredEvents } from "./listenerUnderTest.js";

/** Processor time that each request takes. */
const requestMs = 12;

function keepBusy(durationMs: number): void {
    const endMs = performance.now() + durationMs;
    while (performance.now() < endMs) {
        // Takes processor time, as serving a request does.
    }
}

function serveSlowly(call: ClientCall): Promise<void> {
    keepBusy(requestMs);
    call.answer({ status: 200, reasonPhrase: "OK", rawHeaders: [], bodyBytes: 0 }, Buffer.alloc(0));
    return Promise.resolve();
}

/** Starts the listener; returns it with its port. */
export async function startSlowListener(
    dependencies: Partial<Pick<ClientHttpDependencies, "onAcceptBacklog" | "onLimit" | "doPeersWait">>,
): Promise<{ clients: ClientHttp; port: number }> {
    const clients = createClientHttp({
        ...ignoredEvents, dialects: [platformClientDialect], clock: createSystemClock(), areLimitsConfirmed: () => true, holdingLimits,
        onDenied: () => undefined, onUnexpectedError: () => undefined, serve: serveSlowly, ...dependencies,
    });
    const port = await freePort();
    (await clients.listen(`127.0.0.1:${String(port)}`, 0))._unsafeUnwrap();
    return { clients, port };
}
