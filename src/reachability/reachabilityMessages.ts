/** Messages by which hosts ask each other whether they reach targets. */
import type { Result } from "neverthrow";
import * as z from "zod/mini";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { TargetId } from "../model/names.js";
import { validate } from "../model/schemaIssues.js";
import { idSchema } from "../model/valueSchemas.js";

/** Limit on the targets in one question. */
export const maxAskedTargets = 16;

/** RPC methods. */
export const reachabilityMethods = {
    /** Asks which of some targets the host reaches. */
    reach: "reach",
} as const;

/** Parameters of `reach`. */
export interface ReachParams {
    targetIds: readonly TargetId[];
}

/** Answer to `reach`. */
export interface ReachReply {
    reached: readonly TargetId[];
    /** True if the host that answers may be cut off itself: it reached none of these targets and has heard from no other for a while. */
    cutOff: boolean;
}

const paramsSchema = z.object({ targetIds: z.array(idSchema).check(z.maxLength(maxAskedTargets)) });
const replySchema = z.object({ reached: z.array(idSchema).check(z.maxLength(maxAskedTargets)), cutOff: z.boolean() });

/** Checks a question of another host. */
export function checkReachParams(params: unknown, peer: string): Result<ReachParams, Failure> {
    return check(paramsSchema as unknown as z.ZodMiniType<ReachParams>, params, peer);
}

/** Checks the answer of another host. */
export function checkReachReply(reply: unknown, peer: string): Result<ReachReply, Failure> {
    return check(replySchema as unknown as z.ZodMiniType<ReachReply>, reply, peer);
}

function check<T>(schema: z.ZodMiniType<T>, message: unknown, peer: string): Result<T, Failure> {
    return validate(schema, message).mapErr((why) => failure("invalid", "peer-call", peer, `reach: ${why}`));
}
