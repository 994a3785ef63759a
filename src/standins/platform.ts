/** Small stand-ins for the platform: its append-only log and its list of hosts. */
import Hapi from "@hapi/hapi";
import { z } from "zod";
import type { Offset } from "../model/ids.js";
import type { Clock } from "../model/time.js";
import { Signal } from "../model/signal.js";
import type { ListedHost } from "../platform/logPort.js";
import type { StoredRecord } from "../platform/records.js";

const maxRecordBytes = 1_048_576;
const appendWindowMs = 1_000;

/** Faults of the log; each lasts until it is changed. */
export const logFaultSchema = z.object({
    /** Refuses every call. */
    down: z.boolean().default(false),
    /** Delays every answer. */
    slowMs: z.number().default(0),
    /** Appends that take effect while their answer is lost. */
    loseAnswers: z.number().default(0),
    /** Callers, by the hosts in their user agent, that cannot reach the log. */
    cutOff: z.array(z.string()).default([]),
});

/** Settings of the log. */
export interface LogStandInOptions {
    address: string;
    /** Records kept; older ones are gone. */
    keepRecords: number;
    appendsPerSecond: number;
    clock: Clock;
}

/** A running stand-in. */
export interface StandIn {
    /** IP number and port that it listens on. */
    address: string;
    stop(): Promise<void>;
}

/** What the log has been through; for measurements. */
export interface LogCounts {
    appends: number;
    appendedBytes: number;
    reads: number;
}

/**
 * Starts a log.
 * @param options its settings
 * @returns the running log
 */
export async function startLog(options: LogStandInOptions): Promise<StandIn & { counts: LogCounts }> {
    let records: StoredRecord[] = [];
    let nextOffset = 1;
    let fault = logFaultSchema.parse({});
    let appendTimesMs: number[] = [];
    const appended = new Signal();
    const counts: LogCounts = { appends: 0, appendedBytes: 0, reads: 0 };
    const server = serverOn(options.address);

    const append = (payload: unknown): number => {
        records.push({ offset: nextOffset as Offset, payload });
        records = records.slice(-options.keepRecords);
        nextOffset += 1;
        counts.appends += 1;
        counts.appendedBytes += JSON.stringify(payload).length;
        appended.fire();
        return nextOffset - 1;
    };

    const isOverRate = (nowMs: number): boolean => {
        appendTimesMs = appendTimesMs.filter((atMs) => atMs > nowMs - appendWindowMs);
        appendTimesMs.push(nowMs);
        return appendTimesMs.length > options.appendsPerSecond;
    };

    const page = (from: number, limit: number) => ({
        records: records.filter((record) => record.offset >= from).slice(0, limit),
        firstOffset: records[0]?.offset ?? nextOffset,
        nextOffset,
    });

    server.ext("onPreHandler", async (request, h) => {
        if (request.path === "/fault") {
            return h.continue;
        }
        await options.clock.sleep(fault.slowMs);
        const caller = String(request.headers["hornbeam-host"] ?? "");
        return fault.down || fault.cutOff.includes(caller) ? h.response("down").code(503).takeover() : h.continue;
    });
    server.route([
        {
            method: "POST",
            path: "/records",
            options: { payload: { maxBytes: maxRecordBytes } },
            handler: async (request, h) => {
                if (isOverRate(options.clock.now().monoMs)) {
                    return h.response("too many appends").code(429);
                }
                const offset = append(request.payload);
                if (fault.loseAnswers > 0) {
                    fault.loseAnswers -= 1;
                    request.raw.req.socket.destroy();
                    return h.abandon;
                }
                return { offset };
            },
        },
        {
            method: "GET",
            path: "/records",
            handler: async (request) => {
                const { from, limit, waitMs } = request.query as Record<"from" | "limit" | "waitMs", string>;
                counts.reads += 1;
                const first = page(Number(from), Number(limit));
                if (first.records.length > 0 || Number(waitMs) === 0) {
                    return first;
                }
                await Promise.race([appended.next(), options.clock.sleep(Number(waitMs))]);
                return page(Number(from), Number(limit));
            },
        },
        {
            method: "POST",
            path: "/fault",
            handler: (request) => {
                fault = logFaultSchema.parse(request.payload);
                return fault;
            },
        },
        { method: "GET", path: "/counts", handler: () => counts },
    ]);
    await server.start();
    return { address: addressOf(server), counts, stop: () => server.stop({ timeout: 100 }) };
}

/**
 * Starts a host list. A POST replaces the list, which shows only after the lag.
 * @param options where to listen, the first list and the lag
 * @returns the running list
 */
export async function startHostList(
    options: { address: string; hosts: ListedHost[]; lagMs: number; clock: Clock },
): Promise<StandIn> {
    let shown = options.hosts;
    const server = serverOn(options.address);
    server.route([
        { method: "GET", path: "/hosts", handler: () => shown },
        {
            method: "POST",
            path: "/hosts",
            handler: (request) => {
                void options.clock.sleep(options.lagMs).then(() => {
                    shown = request.payload as ListedHost[];
                });
                return {};
            },
        },
    ]);
    await server.start();
    return { address: addressOf(server), stop: () => server.stop({ timeout: 100 }) };
}

/**
 * Creates an HTTP server for a stand-in.
 * @param address IP number and port; port 0 takes any free one
 * @returns the server, not started yet
 */
export function serverOn(address: string): Hapi.Server {
    const [host, port] = address.split(":");
    return Hapi.server({ host, port: Number(port) });
}

/**
 * Tells where a started server listens.
 * @param server the server
 * @returns IP number and port
 */
export function addressOf(server: Hapi.Server): string {
    return `${server.info.host}:${String(server.info.port)}`;
}
