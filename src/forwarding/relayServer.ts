/**
 * Relays connections to targets for hosts that can't reach them: the helping host opens a connection to the target and passes bytes on in
 * both directions. It connects directly only, so that a connection passes through one host at most.
 */
import type { PeerConnection, PeerHandlers } from "../cluster/peerConnection.js";
import type { Address, TargetId } from "../model/names.js";
import { isId } from "../model/valueSchemas.js";
import type { Log } from "../observe/log.js";
import type { ReachabilityMonitor } from "../reachability/reachabilityMonitor.js";
import type { ClusterView } from "../store/clusterView.js";
import type { RelayParams, RelayReply } from "./relayMessages.js";
import { relayMethods } from "./relayMessages.js";
import type { RelayedConnection } from "./relayedConnection.js";
import { relayConnection } from "./relayedConnection.js";
import { openTargetSocket } from "./targetSocket.js";

const connectTimeoutMs = 250;

/** Limit on the connections that a host relays at a time. */
const maxRelayedConnections = 512;

/** Dependencies of the relay server. */
export interface RelayServerDependencies {
    view: ClusterView;
    reachability: Pick<ReachabilityMonitor, "isCutOff" | "recordHeard">;
    /** Returns true once this host has begun to shut down. */
    isShuttingDown: () => boolean;
    log: Log;
    /** Called for each connection that is relayed, for metrics. */
    onRelayed: () => void;
}

/** Relays connections for other hosts. */
export interface RelayServer {
    /** RPC methods for other hosts. */
    handlers(): PeerHandlers;
    /** Number of connections that are relayed now. */
    openCount(): number;
    /** Has the other hosts finish with the connections that are relayed: answers in progress continue, no further request is sent. */
    announceStop(): void;
    /** Ends the connections that are still relayed, so that no host takes a part of an answer for the whole. */
    close(): void;
}

/** Creates the relay server of this host. */
export function createRelayServer({ view, reachability, isShuttingDown, log, onRelayed }: RelayServerDependencies): RelayServer {
    /** Number of connections that are relayed, or being opened. */
    let openCount = 0;
    const relayed = new Set<RelayedConnection>();
    let isStopping = false;

    const refusalOf = (targetId: TargetId): RelayReply["refused"] => {
        if (isStopping || isShuttingDown()) {
            return "stopping";
        }
        if (reachability.isCutOff()) {
            return "cut-off";
        }
        if (openCount >= maxRelayedConnections) {
            return "busy";
        }
        return view.targets.get(targetId) === undefined ? "unknown-target" : undefined;
    };

    const relay = async ({ targetId, framed }: RelayParams, address: Address, from: PeerConnection): Promise<RelayReply> => {
        openCount += 1;
        const opened = await openTargetSocket(address, connectTimeoutMs);
        if (opened.isErr() || !from.isOpen) {
            openCount -= 1;
            opened.map((socket) => socket.destroy());
            return opened.isErr()
                ? { refused: "unreachable", why: opened.error.message, connectionRefused: opened.error.refused === true }
                : { refused: "stopping" };
        }
        onRelayed();
        reachability.recordHeard(targetId);
        const socket = opened.value;
        const connection = relayConnection(from.detach(), socket, framed === true, (why) => {
            openCount -= 1;
            relayed.delete(connection);
            log.info("relayed connection ended", { target: targetId, peer: from.address, why, open: openCount });
        });
        relayed.add(connection);
        if (isStopping) {
            connection.announceStop();
        }
        return framed === true ? { framed } : {};
    };

    return {
        openCount: () => openCount,
        announceStop: () => {
            isStopping = true;
            relayed.forEach((connection) => {
                connection.announceStop();
            });
        },
        close: () => {
            relayed.forEach((connection) => {
                connection.reset();
            });
        },
        handlers: () => ({
            [relayMethods.relay]: async (params: RelayParams, from: PeerConnection): Promise<RelayReply> => {
                if (typeof params.targetId !== "string" || !isId(params.targetId)) {
                    throw new Error("relay: targetId is no id");
                }
                const { targetId } = params;
                const refused = refusalOf(targetId);
                const address = view.targets.get(targetId)?.address;
                const reply = refused !== undefined || address === undefined
                    ? { refused: refused ?? "unknown-target" as const }
                    : await relay(params, address, from);
                log.info(reply.refused === undefined ? "connection relayed" : "connection not relayed", {
                    target: targetId, peer: from.address, why: reply.refused, open: openCount,
                });
                return reply;
            },
        }),
    };
}
