/** Turns a client's call into a request to be forwarded: finds its route and service, reads its body and computes its deadlines. */
import type { RequestFingerprints } from "../crashes/requestFingerprint.js";
import { computeFingerprints } from "../crashes/requestFingerprint.js";
import type { ClientCall, Refusal } from "../entry/clientCall.js";
import type { ServiceId } from "../model/names.js";
import type { Splitter } from "../routing/splitter.js";
import type { ClusterView } from "../store/clusterView.js";
import type { ClientWaitEstimator } from "./clientWaitEstimator.js";
import { withoutHeaders } from "../entry/hopByHop.js";
import type { RequestContext } from "./requestContext.js";
import type { WorkTimes } from "./workTimes.js";
import { typicalWorkMs } from "./workTimes.js";

const retryAfterNotReadyMs = 500;

/**
 * A configuration that was not confirmed for this long may have been replaced. A host that reaches the store or the coordinator confirms
 * it more often.
 */
export const maxConfigAgeMs = 2_000;

/** Dependencies of `prepareRequest`. */
export interface RequestPreparationDependencies {
    view: ClusterView;
    splitter: Splitter;
    clientWaits: ClientWaitEstimator;
    workTimes: WorkTimes;
    /** Lower-case names of headers that differ between the attempts of one client request. */
    attemptHeaders: ReadonlySet<string>;
}

/** A request to be forwarded, or the refusal of a call. */
export type PreparedRequest =
    | { kind: "request"; context: RequestContext }
    | { kind: "refused"; refusal: Refusal };

/**
 * Prepares a client's call. Bodies up to a certain size are read completely.
 * @param call the call
 * @param configAgeMs time since it was last confirmed that no newer configuration is in force
 */
export async function prepareRequest(
    dependencies: RequestPreparationDependencies, call: ClientCall, configAgeMs: number,
): Promise<PreparedRequest> {
    const { view, splitter, clientWaits, workTimes, attemptHeaders } = dependencies;
    const activeConfig = view.config;
    if (activeConfig === undefined) {
        return refused("not-ready", retryAfterNotReadyMs);
    }
    const route = activeConfig.routes.find(call.hostName, call.path, call.method);
    if (route === undefined) {
        return notAllowed("no-route", configAgeMs);
    }
    const { services } = activeConfig;
    const lacksKeyFor = (serviceId: ServiceId) => services.get(serviceId)?.sharded === true && call.key === undefined;
    const service = services.get(splitter.choose(route, (serviceId) => !lacksKeyFor(serviceId)) ?? "" as ServiceId);
    if (service === undefined) {
        return refused("no-target", retryAfterNotReadyMs);
    }
    if (lacksKeyFor(service.serviceId)) {
        return notAllowed("no-key", configAgeMs);
    }
    const { maxBodyBytes } = activeConfig.config.limits;
    if (call.body.declaredBytes !== undefined && call.body.declaredBytes > maxBodyBytes) {
        return notAllowed("body-too-large", configAgeMs);
    }
    const body = await readBody(call);
    if (body.kind === "refused") {
        return body;
    }
    const receivedMs = call.receivedAt.monoMs;
    let fingerprints: RequestFingerprints | undefined;
    return {
        kind: "request",
        context: {
            call, route, service, body: body.bytes,
            getFingerprints: () => fingerprints ??= fingerprintsOf(call, body.bytes, attemptHeaders),
            softDeadlineMs: receivedMs + route.targetLatencyMs - clientWaits.estimateWaitMs(route.routeId, call.budgetMs, receivedMs),
            deadlineMs: receivedMs + Math.min(call.budgetMs ?? Number.POSITIVE_INFINITY, route.timeoutMs),
            attemptCount: 0, triedTargetIds: new Set(), lastConnection: undefined,
            mayHaveRun: false,
            expectedMs: workTimes.meanMs(route.routeId, typicalWorkMs(route)),
        },
    };
}

type Refused = Extract<PreparedRequest, { kind: "refused" }>;

function refused(reason: Refusal["reason"], retryAfterMs?: number): Refused {
    return { kind: "refused", refusal: { reason, retryAfterMs } };
}

/**
 * Refuses a request that the configuration does not allow. Clients do not repeat a request that is blamed, so one that a newer
 * configuration may allow is not.
 */
function notAllowed(reason: Refusal["reason"], configAgeMs: number): Refused {
    return configAgeMs > maxConfigAgeMs ? refused("config-unconfirmed", retryAfterNotReadyMs) : refused(reason);
}

/** Reads the body; `bytes` is undefined if it is too long and has to be streamed. */
async function readBody(call: ClientCall): Promise<Refused | { kind: "read"; bytes: Buffer | undefined }> {
    const body = await call.body.collect();
    if (body === "broken") {
        return refused("body-late");
    }
    return { kind: "read", bytes: body === "too-long" ? undefined : body };
}

function fingerprintsOf(call: ClientCall, body: Buffer | undefined, attemptHeaders: ReadonlySet<string>): RequestFingerprints {
    const { method, hostName, path, key, forwardHeaders } = call;
    return computeFingerprints({
        method, hostName, path, key,
        stableHeaders: withoutHeaders(forwardHeaders, attemptHeaders),
        bodyStart: body ?? call.body.start,
        bodyBytes: body?.length ?? call.body.declaredBytes,
    });
}
