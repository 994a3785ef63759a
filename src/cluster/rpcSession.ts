/**
 * JSON-RPC 2.0 calls on one connection, in both directions. A host handles several of them for each client request, so messages
 * are dispatched to their calls and handlers directly, without the layers of the library's own client and server.
 */
import type { JSONRPCRequest, JSONRPCResponse } from "json-rpc-2.0";
import {
    createJSONRPCErrorResponse, createJSONRPCNotification, createJSONRPCRequest, createJSONRPCSuccessResponse, JSONRPCErrorCode,
} from "json-rpc-2.0";

/** A JSON-RPC 2.0 message. */
export type RpcMessage = JSONRPCRequest | JSONRPCResponse;

/** Handles one method; an error that it throws is reported to the caller. */
export type RpcHandler = (params: unknown) => unknown;

interface PendingCall {
    resolve: (result: unknown) => void;
    reject: (error: Error) => void;
    timer: NodeJS.Timeout;
}

/** The calls on one connection. */
export class RpcSession {
    private readonly handlers = new Map<string, RpcHandler>();
    private readonly pending = new Map<number, PendingCall>();
    private lastId = 0;

    /** @param send writes a message to the peer */
    constructor(private readonly send: (message: RpcMessage) => void) {}

    /** Number of calls by this side that have no answer yet. */
    get pendingCount(): number {
        return this.pending.size;
    }

    /** Registers the handler of a method that the peer may call. */
    registerMethod(method: string, handler: RpcHandler): void {
        this.handlers.set(method, handler);
    }

    /**
     * Calls a method of the peer.
     * @param method its name
     * @param params its arguments
     * @param timeoutMs time after which the call fails
     * @returns the result; rejects when the peer reports an error, on timeout, and when the session ends
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
     * Handles a message from the peer. Values that are no JSON-RPC message, and responses to unknown calls, are ignored.
     * @param message the decoded message
     */
    receive(message: unknown): void {
        if (typeof message !== "object" || !message) {
            return;
        }
        if ("method" in message) {
            void this.handleRequest(message as JSONRPCRequest);
        }
        else if ("id" in message) {
            this.settleCall(message as JSONRPCResponse);
        }
    }

    /** Fails every pending call. */
    close(reason: string): void {
        const calls = [...this.pending.values()];
        this.pending.clear();
        for (const { reject, timer } of calls) {
            clearTimeout(timer);
            reject(new Error(reason));
        }
    }

    private settleCall({ id, result, error }: JSONRPCResponse): void {
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

    private async handleRequest({ id, method, params }: JSONRPCRequest): Promise<void> {
        if (typeof id !== "number") {
            await this.invokeHandler(method, params).catch(() => undefined);
            return;
        }
        this.send(await this.invokeHandler(method, params).then(
            (result) => createJSONRPCSuccessResponse(id, result),
            (error: unknown) => createJSONRPCErrorResponse(id, JSONRPCErrorCode.InternalError, messageOf(error)),
        ));
    }

    private async invokeHandler(method: string, params: unknown): Promise<unknown> {
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
