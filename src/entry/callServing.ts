/** Serves calls, and answers those that end with an unexpected error. */
import type { ServerResponse } from "node:http";
import type { ClientCall } from "./clientCall.js";
import { RequestNotRunError } from "./clientCall.js";

/** Retry delay sent to clients whose request did not run because of an unexpected error. */
const retryAfterErrorMs = 250;

/** Dependencies of the serving. */
export interface CallServingDependencies {
    /** Answers a request. */
    serve: (call: ClientCall) => Promise<void>;
    /** Called with any error that `serve` throws, and the call. */
    onUnexpectedError: (error: unknown, call: ClientCall) => void;
}

/** Creates the function that serves a call; it throws no error. */
export function createCallServing(
    { serve, onUnexpectedError }: CallServingDependencies,
): (call: ClientCall, response: ServerResponse) => Promise<void> {
    /** Refuses a request that could not be served because of an unexpected error; closes the connection if that is not possible either. */
    const answerAfterError = (call: ClientCall, response: ServerResponse, error: unknown) => {
        try {
            refuseAfterError(call, response, error);
        }
        catch (furtherError) {
            onUnexpectedError(furtherError, call);
            call.abortAnswer();
        }
    };

    return async (call, response) => {
        try {
            await serve(call);
        }
        catch (error) {
            onUnexpectedError(error, call);
            answerAfterError(call, response, error);
        }
    };
}

/** Answers a request that could not be served because of an unexpected error; if a part of an answer was written, closes the connection. */
function refuseAfterError(call: ClientCall, response: ServerResponse, error: unknown): void {
    if (response.writableEnded) {
        return;
    }
    if (response.headersSent) {
        call.abortAnswer();
        return;
    }
    call.refuse(error instanceof RequestNotRunError
        ? { reason: "unreachable", retryAfterMs: retryAfterErrorMs }
        : { reason: "lost", retryAfterMs: undefined });
}
