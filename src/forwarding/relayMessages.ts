/** Messages by which a host asks another one to relay a connection to a target. */
import type { Result } from "neverthrow";
import * as z from "zod/mini";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { TargetId } from "../model/names.js";
import { validate } from "../model/schemaIssues.js";

/** RPC methods. */
export const relayMethods = {
    /** Asks for a connection to a target. If it is granted, the connection between the hosts carries the target's data from then on. */
    relay: "relay",
} as const;

/** Parameters of `relay`. */
export interface RelayParams {
    targetId: TargetId;
    /** True if the asking host reads frames; absent for hosts of earlier versions. */
    framed?: true;
}

/** Answer to `relay`; without `refused` the connection is open. */
export interface RelayReply {
    refused?: "stopping" | "cut-off" | "busy" | "unknown-target" | "unreachable" | undefined;
    /** Why the target is unreachable. */
    why?: string;
    /** True if the target's address refused the connection. */
    connectionRefused?: boolean;
    /** True if the target's data comes in frames, see `relayFrames.ts`; absent for hosts of earlier versions. */
    framed?: true;
}

const replySchema = z.object({
    refused: z.optional(z.enum(["stopping", "cut-off", "busy", "unknown-target", "unreachable"])),
    why: z.optional(z.string()),
    connectionRefused: z.optional(z.boolean()),
    framed: z.optional(z.literal(true)),
});

/** Checks the answer of another host. */
export function checkRelayReply(reply: unknown, peer: string): Result<RelayReply, Failure> {
    return validate(replySchema as z.ZodMiniType<RelayReply>, reply).mapErr((why) => failure("invalid", "peer-call", peer, `relay: ${why}`));
}
