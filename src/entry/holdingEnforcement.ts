/** Enforces the limits on what clients make this host hold: closes connections, and records each limit that is reached. */
import type { Socket } from "node:net";
import type { RequestId } from "../model/names.js";
import type { Clock } from "../model/time.js";
import type { ClientAccount, ClientAccountLimits, CloseReason } from "./clientAccount.js";
import type { ClientConnection, ConnectionSummary } from "./clientConnection.js";
import { progressOf, summarizeConnection } from "./clientConnection.js";
import { endForLimit } from "./connectionEnd.js";

/** Interval at which the progress of bodies and responses is checked. */
const progressCheckIntervalMs = 500;

/** Limits on what clients make this host hold. */
export interface HoldingLimits extends ClientAccountLimits {
    /** Fixed allowance of a message for bytes that are neither header section nor content. */
    maxOverheadBytes: number;
}

/** A limit that a client has reached. */
export interface ReachedLimit {
    limit: CloseReason | "refused" | "late";
    /** The refused request. */
    request?: RequestId | undefined;
    /** Time for which the refused request has waited to begin, if this host is late. */
    waitMs?: number;
    connection: ConnectionSummary;
    /** Bytes held for the connection, and for all. */
    heldBytes: number;
    allHeldBytes: number;
    /** Requests of the connection in progress. */
    requestCount: number;
}

/** Dependencies of the enforcement. */
export interface HoldingEnforcementDependencies {
    account: ClientAccount<Socket>;
    connectionOf: (socket: Socket) => ClientConnection;
    clock: Clock;
    /** Called when a request is refused or a connection is closed because of a limit. */
    onLimit: (reached: ReachedLimit) => void;
}

/** The enforcement of one listener. */
export interface HoldingEnforcement {
    /** Called when a connection has opened, so that progress is checked from then on. */
    onOpened(): void;
    /** Called when a connection has closed. */
    onClosed(): void;
    /** Closes a connection if there are too many. */
    closeBeyondLimit(): void;
    /** Records that a request is refused. */
    recordRefusal(connection: ClientConnection, limit: "refused" | "late", refused: Pick<ReachedLimit, "request" | "waitMs">): void;
}

/** Creates the enforcement. */
export function createHoldingEnforcement(
    { account, connectionOf, clock, onLimit }: HoldingEnforcementDependencies,
): HoldingEnforcement {
    let checks: NodeJS.Timeout | undefined;
    const nowMs = () => clock.now().monoMs;

    const recordLimit = (connection: ClientConnection, limit: ReachedLimit["limit"], refused: Pick<ReachedLimit, "request" | "waitMs"> = {}) => {
        onLimit({
            limit, ...refused, connection: summarizeConnection(connection, connection.requestCount, nowMs()),
            heldBytes: connection.holdings.bytes, allHeldBytes: account.heldBytes, requestCount: connection.holdings.requestCount,
        });
    };

    const closeForLimit = (socket: Socket, reason: CloseReason) => {
        const connection = connectionOf(socket);
        recordLimit(connection, reason);
        endForLimit(connection, reason);
    };

    const checkProgress = () => {
        for (const { connection, reason } of account.check(nowMs(), (socket) => progressOf(connectionOf(socket)))) {
            closeForLimit(connection, reason);
        }
    };

    return {
        onOpened: () => {
            checks ??= setInterval(checkProgress, progressCheckIntervalMs).unref();
        },
        onClosed: () => {
            if (account.connectionCount === 0) {
                clearInterval(checks);
                checks = undefined;
            }
        },
        closeBeyondLimit: () => {
            const beyondLimit = account.connectionBeyondLimit();
            if (beyondLimit !== undefined) {
                closeForLimit(beyondLimit, "open-files");
            }
        },
        recordRefusal: recordLimit,
    };
}
