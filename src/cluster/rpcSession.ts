/**
 * Calls by JSON-RPC 2.0 on one connection, in both directions. A host answers a few of them for each request of a client, so a
 * message is matched with its call or its handler directly, without the layers of the library's own client and server.
 */
import type { JSONRPCRequest, JSONRPCResponse } from "json-rpc-2.0";
import {
    createJSONRPCErrorResponse, createJSONRPCNotification, createJSONRPCRequest, createJSONRPCSuccessResponse, JSONRPCErrorCode,
} from "json-rpc-2.0";

/** A message of JSON-RPC 2.0. */
export type RpcMessage = JSONRPCRequest | JSONRPCResponse;

/** Answers one method; what it throws is reported to the caller. */
export type RpcHandler = (params: unknown) => unknown;

interface PendingCall {
    resolve: (result: unknown) => void;
    reject: (error: Error) => void;
    timer: NodeJS.Timeout;
}

/** The calls under way on one connection. */
export class RpcSession {
    private readonly handlers = new Map<string, RpcHandler>();
    private readonly pending = new Map<number, PendingCall>();
    private lastId = 0;

    /** @param send writes a message to the other side */
    constructor(private readonly send: (message: RpcMessage) => void) {}

    /** Calls of this side without an answer. */
    get pendingCount(): number {
        return this.pending.size;
    }

    /**
     * Offers a method to the other side.
     * @param method its name
     * @param handler answers it
     */
    offer(method: string, handler: RpcHandler): void {
        this.handlers.set(method, handler);
    }

    /**
     * Calls a method of the other side.
     * @param method its name
     * @param params its arguments
     * @param timeoutMs how long to wait
     * @returns rejects when the other side reports an error, in time out, and when the session ends
     */
    request(method: string, params: object, timeoutMs: number): Promise<unknown> {
        this.lastId += 1;
        const id = this.lastId;
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => {
                this.pending.delete(id);
                reject(new Error("timed out"));
            }, timeoutMs);
            this.pending.set(id, { resolve, reject, timer });
            this.send(createJSONRPCRequest(id, method, params));
        });
    }

    /** Sends a message that has no answer. */
    notify(method: string, params: object): void {
        this.send(createJSONRPCNotification(method, params));
    }

    /**
     * Takes a message of the other side. What is no message of the protocol, or answers no call, is ignored.
     * @param message as it was decoded
     */
    receive(message: unknown): void {
        if (typeof message !== "object" || !message) {
            return;
        }
        if ("method" in message) {
            void this.answer(message as JSONRPCRequest);
        }
        else if ("id" in message) {
            this.settle(message as JSONRPCResponse);
        }
    }

    /** Fails every call under way. */
    end(reason: string): void {
        const calls = [...this.pending.values()];
        this.pending.clear();
        for (const { reject, timer } of calls) {
            clearTimeout(timer);
            reject(new Error(reason));
        }
    }

    private settle({ id, result, error }: JSONRPCResponse): void {
        const call = this.pending.get(id as number);
        if (call === undefined) {
            return;
        }
        this.pending.delete(id as number);
        clearTimeout(call.timer);
        if (error === undefined) {
            call.resolve(result);
        }
        else {
            call.reject(new Error(error.message));
        }
    }

    private async answer({ id, method, params }: JSONRPCRequest): Promise<void> {
        if (typeof id !== "number") {
            await this.handle(method, params).catch(() => undefined);
            return;
        }
        this.send(await this.handle(method, params).then(
            (result) => createJSONRPCSuccessResponse(id, result),
            (error: unknown) => createJSONRPCErrorResponse(id, JSONRPCErrorCode.InternalError, messageOf(error)),
        ));
    }

    private async handle(method: string, params: unknown): Promise<unknown> {
        const handler = this.handlers.get(method);
        if (handler === undefined) {
            throw new Error(`no method ${method}`);
        }
        return handler(params);
    }
}

function messageOf(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}
