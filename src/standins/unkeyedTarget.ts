/** Stand-in for a target that owns no keys: a meter-read archive or a street-list export. */
import { createHash } from "node:crypto";
import type { Request, ResponseObject, ResponseToolkit } from "@hapi/hapi";
import { z } from "zod";
import type { Clock } from "../model/time.js";
import type { StandIn } from "./platform.js";
import { addressOf, serverOn } from "./platform.js";

/** Behaviour that a test may change while the target runs. */
export const targetFaultSchema = z.object({
    draining: z.boolean().default(false),
    shedding: z.boolean().default(false),
    slowMs: z.number().default(0),
    /** Answers that are cut short. */
    truncateAnswers: z.number().default(0),
    /** Answers that carry another request's id. */
    crossAnswers: z.number().default(0),
    /** Work that takes effect while its answer never comes. */
    loseAnswers: z.number().default(0),
});

/** Settings of an unkeyed target. */
export interface UnkeyedTargetOptions {
    address: string;
    slots: number;
    serviceMs: number;
    maxQueued: number;
    /** Entries of every list that the export answers. */
    listEntries: number;
    /** How much slower the first pieces of work are. */
    coldFactor: number;
    coldRequests: number;
    clock: Clock;
}

/**
 * Starts a target.
 * @param options its settings
 * @returns the running target
 */
export async function startUnkeyedTarget(options: UnkeyedTargetOptions): Promise<StandIn> {
    let fault = targetFaultSchema.parse({});
    let running = 0;
    let served = 0;
    const waiting: (() => void)[] = [];
    const record = { accepted: [] as string[], lists: 0 };
    const server = serverOn(options.address);

    const withSlot = async <T>(run: () => Promise<T>): Promise<T> => {
        if (running < options.slots) {
            running += 1;
        }
        else {
            await new Promise<void>((resolve) => waiting.push(resolve));
        }
        const result = await run();
        const next = waiting.shift();
        if (next === undefined) {
            running -= 1;
        }
        else {
            next();
        }
        return result;
    };

    const refusalNow = (): "draining" | "shedding" | undefined => {
        if (fault.draining) {
            return "draining";
        }
        return fault.shedding || waiting.length >= options.maxQueued ? "shedding" : undefined;
    };

    const serve = async (effect: () => object): Promise<string> => withSlot(async () => {
        const coldFactor = served < options.coldRequests ? options.coldFactor : 1;
        await options.clock.sleep(options.serviceMs * coldFactor + fault.slowMs);
        served += 1;
        return JSON.stringify(effect());
    });

    server.ext("onPreHandler", async (request, h) => {
        const refused = request.path === "/fault" || request.path === "/record" ? undefined : refusalNow();
        if (refused === undefined) {
            return h.continue;
        }
        return respond(h.response(""), "", String(request.headers["hornbeam-request-id"]))
            .header("hornbeam-refused", refused)
            .header("hornbeam-retry-after-ms", String(options.serviceMs * 10))
            .code(503).takeover();
    });

    server.route([
        {
            method: "GET",
            path: "/lists/{list}",
            handler: async (request, h) => {
                const body = await serve(() => {
                    record.lists += 1;
                    const { list } = request.params as { list: string };
                    const entries = Array.from({ length: options.listEntries }, (_, number) => `${list} ${String(number + 1)}`);
                    return { list, entries };
                });
                return finish(request.headers["hornbeam-request-id"] as string, body, request, h);
            },
        },
        {
            method: "POST",
            path: "/meter-reads",
            handler: async (request, h) => {
                const body = await serve(() => {
                    record.accepted.push(JSON.stringify(request.payload));
                    return { accepted: true };
                });
                return finish(request.headers["hornbeam-request-id"] as string, body, request, h);
            },
        },
        { method: "GET", path: "/record", handler: () => record },
        {
            method: "POST",
            path: "/fault",
            handler: (request) => {
                fault = targetFaultSchema.parse(request.payload);
                return fault;
            },
        },
    ]);

    const finish = (requestId: string, body: string, request: Request, h: ResponseToolkit) => {
        if (fault.loseAnswers > 0) {
            fault.loseAnswers -= 1;
            request.raw.req.socket.destroy();
            return h.abandon;
        }
        if (fault.truncateAnswers > 0) {
            fault.truncateAnswers -= 1;
            return respond(h.response(body.slice(0, -10)), body, requestId);
        }
        const crossed = fault.crossAnswers > 0;
        fault.crossAnswers -= crossed ? 1 : 0;
        return respond(h.response(body), body, crossed ? "another-request" : requestId);
    };

    await server.start();
    return { address: addressOf(server), stop: () => server.stop({ timeout: 100 }) };
}

function respond(response: ResponseObject, body: string, requestId: string): ResponseObject {
    return response
        .type("application/json")
        .header("hornbeam-request-id", requestId)
        .header("hornbeam-digest", createHash("sha256").update(body).digest("hex"));
}
