/** One connection to a target that this host relays for another host. */
import type net from "node:net";
import { readSocket } from "../adapters/socketReader.js";
import { frameHeader, frameTypes } from "./relayFrames.js";
import { checkOrderlyEnd } from "./targetStream.js";

const noBytes = Buffer.alloc(0);

/** Why a relayed connection ended. */
export type RelayEnd = "ended-by-target" | "reset-by-target" | "closed-by-host" | "this-host-stops";

/** A relayed connection. */
export interface RelayedConnection {
    /** Asks the other host to send no further request on it and to close it after the answer in progress. */
    announceStop(): void;
    /** Ends it now, with a reset: the end of this host must not pass for the end of the target's data. */
    reset(): void;
}

/** How this host passes on what concerns the target to the other host. */
interface TargetOutput {
    /** Writes a piece of the target's data. */
    writeData(bytes: Buffer, onWritten: () => void): void;
    /** Tells that the target has ended its data in order. */
    end(): void;
    announceStop(): void;
}

/**
 * Passes on what arrives on either socket, until one of them is closed. The end of the target's data is passed on only if it is orderly,
 * otherwise as a reset.
 * @param client socket of the host that asked for the connection
 * @param target socket of the target
 * @param isFramed true if the other host reads frames; a host of an earlier version takes the end of the connection for the target's
 * @param onEnded called when the target's socket is closed
 */
export function relayConnection(
    client: net.Socket, target: net.Socket, isFramed: boolean, onEnded: (why: RelayEnd) => void,
): RelayedConnection {
    const output = isFramed ? framedOutput(client) : plainOutput(client);
    let endReason: RelayEnd | undefined;
    let isClientReading = false;
    let isStopAnnounced = false;

    const announceStop = () => {
        isStopAnnounced = true;
        if (isClientReading) {
            output.announceStop();
        }
    };

    passOn(client, (bytes, onWritten) => {
        target.write(bytes, onWritten);
        // Before its first request, the other host may not have read the answer by which this connection was granted.
        if (!isClientReading) {
            isClientReading = true;
            if (isStopAnnounced) {
                output.announceStop();
            }
        }
    });
    passOn(target, output.writeData);
    const resetClient = (why: RelayEnd) => {
        endReason ??= why;
        client.resetAndDestroy();
    };

    target.on("end", () => {
        void checkOrderlyEnd(target).then((isOrderly) => {
            if (isOrderly) {
                endReason ??= "ended-by-target";
                output.end();
            }
            else {
                resetClient("reset-by-target");
            }
        });
    });
    target.on("error", () => {
        resetClient("reset-by-target");
    });
    target.on("close", () => {
        if (!client.writableEnded) {
            resetClient("reset-by-target");
        }
        onEnded(endReason ?? "closed-by-host");
    });
    client.on("end", () => {
        client.destroy();
    });
    client.on("close", () => {
        endReason ??= "closed-by-host";
        target.destroy();
    });
    return {
        announceStop,
        reset: () => {
            resetClient("this-host-stops");
        },
    };
}

function plainOutput(client: net.Socket): TargetOutput {
    return {
        writeData: (bytes, onWritten) => {
            client.write(bytes, onWritten);
        },
        end: () => {
            client.end();
        },
        announceStop: () => undefined,
    };
}

function framedOutput(client: net.Socket): TargetOutput {
    const writeFrame = (type: number, content: Buffer, onWritten?: () => void) => {
        client.cork();
        client.write(frameHeader(type, content.length));
        client.write(content, onWritten);
        client.uncork();
    };
    return {
        writeData: (bytes, onWritten) => {
            writeFrame(frameTypes.data, bytes, onWritten);
        },
        end: () => {
            writeFrame(frameTypes.end, noBytes);
            client.end();
        },
        announceStop: () => {
            if (client.writable) {
                writeFrame(frameTypes.stopping, noBytes);
            }
        },
    };
}

/** Passes on what arrives, one piece at a time: the next one is read when the last has been written, into the same memory. */
function passOn(from: net.Socket, write: (bytes: Buffer, onWritten: () => void) => void): void {
    let copy = Buffer.alloc(0);
    const reader = readSocket(from, (bytes) => {
        copy = copy.length < bytes.length ? Buffer.allocUnsafe(bytes.length) : copy;
        bytes.copy(copy);
        reader.hold();
        write(copy.subarray(0, bytes.length), () => {
            reader.release();
        });
    });
}
