/** A listener with a connected client for each test of a suite. */
import { RawClient } from "./listenerClient.js";
import type { ListenerUnderTest } from "./listenerUnderTest.js";
import { startListener } from "./listenerUnderTest.js";

/** A running listener and a client that is connected to it. */
export interface ConnectedClient {
    listener: ListenerUnderTest;
    client: RawClient;
}

/**
 * Starts a listener and connects a client before each test of a suite, and closes both after it.
 * @param onConnected called before each test
 */
export function useConnectedClient(onConnected: (connected: ConnectedClient) => void): void {
    let listener: ListenerUnderTest;
    let client: RawClient;

    beforeEach(async () => {
        listener = await startListener();
        client = await RawClient.connect(listener.port);
        onConnected({ listener, client });
    });

    afterEach(() => {
        client.socket.destroy();
        listener.clients.close();
    });
}
