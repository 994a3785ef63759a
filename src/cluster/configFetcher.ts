/** Fetches the configuration from another host that knows a newer one. */
import type { Log } from "../observe/log.js";
import type { ClusterView } from "../store/clusterView.js";
import type { MessageChecks } from "./messageChecks.js";
import type { ConfigurationReply } from "./messages.js";
import { callTimeoutMs, clusterMethods } from "./messages.js";
import type { PeerConnection } from "./peerConnection.js";

/** Dependencies of a fetcher. */
export interface ConfigFetcherDependencies {
    view: ClusterView;
    checks: Pick<MessageChecks, "configuration">;
    log: Log;
}

/** Fetches the configuration of other hosts. */
export interface ConfigFetcher {
    /** Applies the configuration of another host, if it is newer. Does nothing while a call of this method is under way. */
    fetchFrom(peer: PeerConnection): Promise<void>;
}

/** Creates the fetcher. */
export function createConfigFetcher({ view, checks, log }: ConfigFetcherDependencies): ConfigFetcher {
    let isFetching = false;

    const apply = (reply: ConfigurationReply, peer: PeerConnection) => {
        checks.configuration(reply, peer.address).match(({ config, offset }) => {
            if (view.applyConfig(config, offset, view.configUpTo)) {
                log.info("configuration of another host applied", { version: config.version, peer: peer.address });
            }
        }, (failed) => {
            log.warn("configuration of another host cannot be meant", { peer: failed.peer, why: failed.message });
        });
    };

    return {
        fetchFrom: async (peer) => {
            if (isFetching) {
                return;
            }
            isFetching = true;
            const reply = await peer.call<ConfigurationReply | undefined>(clusterMethods.configuration, {}, callTimeoutMs);
            isFetching = false;
            if (reply.isOk() && reply.value !== undefined) {
                apply(reply.value, peer);
            }
        },
    };
}
