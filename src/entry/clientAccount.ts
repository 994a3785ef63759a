/**
 * Account of what this host holds for clients: decides when reading pauses, when new requests are refused, and which connections are
 * closed. Does no I/O; the current time is an argument.
 */

/** Limits of the account. */
export interface ClientAccountLimits {
    /** Budget for what is held for all clients together. */
    maxBytes: number;
    maxConnections: number;
    /** Requests of one connection that are parsed and not answered. */
    maxPipelined: number;
    /** Least rate at which a body must arrive, or a response be read. */
    minBytesPerSecond: number;
    /** Window over which the rate of a body is measured. */
    stallMs: number;
}

/** Estimates of the memory that a connection and a request in progress take, without the bytes of bodies. */
const connectionBytes = 4_096;
const requestBytes = 8_192;

/** Shares of the budget at which each measure begins, and ends. */
const pauseShare = 0.5;
const refuseShare = { begin: 0.75, end: 0.6 };
const closeShare = { begin: 0.9, end: 0.75 };

/** A connection that holds more than the budget over this number is not read while reading pauses. */
const connectionsPerBudget = 32;

/** Responses may stall for this many windows: clients read into buffers of their own, and announce room for more in large steps. */
const responseWindows = 3;

/** Connections that are closed at one check, so that the account can follow. */
const maxClosedPerCheck = 16;

/** A response of which this much waits to be read keeps further requests of its connection from being parsed. */
const maxUnreadBytes = 65_536;

/** Delay of a check after the end of a window that is no sign of a clock that stepped: checks are periodic, and a host may be busy. */
const maxCheckDelayMs = 1_000;

/** What the client of a connection has to do next. */
export type Duty = "body" | "response" | "close" | "none";

/** Why a connection is closed. */
export type CloseReason = "body-stalled" | "response-stalled" | "not-closed" | "memory" | "open-files";

/** What is held for one connection. */
export interface ClientHoldings {
    requestCount: number;
    /** Bytes of bodies, of responses and of input that was not parsed. */
    bytes: number;
    window: ProgressWindow;
}

interface ProgressWindow {
    duty: Duty;
    startMs: number;
    /** Progress counted by the socket at the start of the window. */
    progressBytes: number;
    /** True if this host did not read within the window; the client is not to blame for it. */
    isExcused: boolean;
}

/** State of a connection as its socket tells it. */
export interface ConnectionProgress {
    duty: Duty;
    /** Bytes received so far while a body is due, bytes written so far while a response is. */
    progressBytes: number;
    /** True if the host itself does not read now. */
    isPaused: boolean;
}

/** The account of one process; `C` is a connection. */
export class ClientAccount<C> {
    private readonly holdings = new Map<C, ClientHoldings>();
    private refusing = false;
    private closing = false;
    private totalBytes = 0;

    constructor(private readonly limits: ClientAccountLimits) {}

    /** Bytes held for all clients together. */
    get heldBytes(): number {
        return this.totalBytes;
    }

    get connectionCount(): number {
        return this.holdings.size;
    }

    /**
     * Returns whether a new request is refused. Between the shares for refusing and for closing, a request without a long body on a
     * connection that holds nothing else is still accepted, so that ordinary callers keep a share of the budget.
     * @param hasLongBody true if the body may be long
     */
    refuses({ requestCount, bytes }: ClientHoldings, hasLongBody: boolean): boolean {
        const share = this.totalBytes / this.limits.maxBytes;
        this.refusing = isBeyond(share, refuseShare, this.refusing);
        return share >= closeShare.begin || (this.refusing && (hasLongBody || requestCount > 0 || bytes > 0));
    }

    /** Adds a connection. */
    open(connection: C, nowMs: number): ClientHoldings {
        const holdings: ClientHoldings = {
            requestCount: 0, bytes: 0,
            window: { duty: "none", startMs: nowMs, progressBytes: 0, isExcused: false },
        };
        this.holdings.set(connection, holdings);
        this.totalBytes += connectionBytes;
        return holdings;
    }

    /** Removes a connection with all that it held. */
    close(connection: C): void {
        const holdings = this.holdings.get(connection);
        if (holdings !== undefined) {
            this.holdings.delete(connection);
            this.totalBytes -= costOf(holdings);
        }
    }

    /** Returns the connection to close if there are too many: the one without a request for the longest, or the newest if all have one. */
    connectionBeyondLimit(): C | undefined {
        if (this.holdings.size <= this.limits.maxConnections) {
            return undefined;
        }
        let newest: C | undefined;
        for (const [connection, { requestCount }] of this.holdings) {
            if (requestCount === 0) {
                return connection;
            }
            newest = connection;
        }
        return newest;
    }

    beginRequest(connection: C): void {
        const holdings = this.holdings.get(connection);
        if (holdings !== undefined) {
            holdings.requestCount += 1;
            this.totalBytes += requestBytes;
            // The map is in the order of use: its first entry without a request is the one that was idle for the longest.
            this.holdings.delete(connection);
            this.holdings.set(connection, holdings);
        }
    }

    endRequest(connection: C): void {
        const holdings = this.holdings.get(connection);
        if (holdings !== undefined && holdings.requestCount > 0) {
            holdings.requestCount -= 1;
            this.totalBytes -= requestBytes;
        }
    }

    /** Adds bytes of input, a body or a response; removes them if negative. Does nothing once the connection is closed. */
    add(connection: C, bytes: number): void {
        const holdings = this.holdings.get(connection);
        if (holdings !== undefined && Number.isFinite(bytes)) {
            const change = Math.max(bytes, -holdings.bytes);
            holdings.bytes += change;
            this.totalBytes += change;
        }
    }

    /** Tells whether the next request of a connection may be parsed. */
    mayParse({ requestCount, bytes }: ClientHoldings, unreadBytes: number): boolean {
        const isPausing = this.totalBytes > pauseShare * this.limits.maxBytes && bytes > this.limits.maxBytes / connectionsPerBudget;
        return requestCount === 0 || (requestCount < this.limits.maxPipelined && unreadBytes <= maxUnreadBytes && !isPausing);
    }

    /**
     * Judges the progress of all connections. Called at intervals.
     * @param stateOf reads the state of a connection
     * @returns the connections to close, and why
     */
    check(nowMs: number, stateOf: (connection: C) => ConnectionProgress): { connection: C; reason: CloseReason }[] {
        const closed: { connection: C; reason: CloseReason }[] = [];
        const candidates: { connection: C; costBytes: number; bytesPerMs: number }[] = [];
        this.closing = isBeyond(this.totalBytes / this.limits.maxBytes, closeShare, this.closing);
        for (const [connection, holdings] of this.holdings) {
            const state = stateOf(connection);
            const bytesPerMs = rateOf(holdings.window, state, nowMs);
            const reason = this.judge(holdings, state, nowMs);
            if (reason !== undefined) {
                closed.push({ connection, reason });
            }
            else if (this.closing && (holdings.requestCount > 0 || holdings.bytes > 0)) {
                candidates.push({ connection, costBytes: costOf(holdings), bytesPerMs });
            }
        }
        if (closed.length === 0 && candidates.length > 0) {
            candidates.sort((one, other) =>
                other.costBytes / other.bytesPerMs - one.costBytes / one.bytesPerMs || other.costBytes - one.costBytes);
            let excessBytes = this.totalBytes - closeShare.end * this.limits.maxBytes;
            for (const { connection, costBytes } of candidates.slice(0, maxClosedPerCheck)) {
                if (excessBytes <= 0) {
                    break;
                }
                excessBytes -= costBytes;
                closed.push({ connection, reason: "memory" });
            }
        }
        return closed;
    }

    private judge(
        { window }: ClientHoldings, { duty, progressBytes, isPaused }: ConnectionProgress, nowMs: number,
    ): CloseReason | undefined {
        const tookMs = nowMs - window.startMs;
        const lengthMs = duty === "response" ? this.limits.stallMs * responseWindows : this.limits.stallMs;
        const hasClockStepped = tookMs < 0 || tookMs > lengthMs + Math.max(lengthMs, maxCheckDelayMs);
        window.isExcused ||= isPaused && duty === "body";
        if (duty !== window.duty || hasClockStepped || (tookMs >= lengthMs && window.isExcused)) {
            Object.assign(window, { duty, progressBytes, startMs: nowMs, isExcused: isPaused && duty === "body" });
            return undefined;
        }
        if (duty === "none" || tookMs < lengthMs) {
            return undefined;
        }
        if (duty === "close") {
            return "not-closed";
        }
        const requiredBytes = duty === "body" ? this.limits.minBytesPerSecond * tookMs / 1_000 : 1;
        if (progressBytes - window.progressBytes < requiredBytes) {
            return duty === "body" ? "body-stalled" : "response-stalled";
        }
        Object.assign(window, { progressBytes, startMs: nowMs });
        return undefined;
    }
}

/** Returns the rate at which a client does its duty; infinite while it has none, or has just got another one. */
function rateOf(window: ProgressWindow, { duty, progressBytes }: ConnectionProgress, nowMs: number): number {
    return duty === "none" || duty !== window.duty
        ? Number.POSITIVE_INFINITY
        : Math.max(1, progressBytes - window.progressBytes) / Math.max(1, nowMs - window.startMs);
}

function costOf({ requestCount, bytes }: ClientHoldings): number {
    return connectionBytes + requestCount * requestBytes + bytes;
}

function isBeyond(share: number, { begin, end }: { begin: number; end: number }, was: boolean): boolean {
    return share >= (was ? end : begin);
}
