/** Places requests at targets in the simulated cluster as a host's forwarder does, with the host's own placer and quarantine guard. */
import { setMaxListeners } from "node:events";
import type { Fingerprint, RequestFingerprints } from "../../src/crashes/requestFingerprint.js";
import type { ClientCall, Refusal } from "../../src/entry/clientCall.js";
import type { TargetSlot } from "../../src/forwarding/placement.js";
import { createPlacer } from "../../src/forwarding/placement.js";
import type { QuarantineGuard } from "../../src/forwarding/quarantineGuard.js";
import { createQuarantineGuard, standingOfRequest } from "../../src/forwarding/quarantineGuard.js";
import type { RequestContext } from "../../src/forwarding/requestContext.js";
import { StatedRateLimits } from "../../src/forwarding/statedRateLimits.js";
import { TargetPauses } from "../../src/forwarding/targetPauses.js";
import { typicalWorkMs, WorkTimes } from "../../src/forwarding/workTimes.js";
import type { DataCentreId, Key, RouteId, ServiceId } from "../../src/model/names.js";
import { maxKey } from "../../src/model/names.js";
import { hash } from "../../src/model/rendezvous.js";
import { Signal } from "../../src/model/signal.js";
import type { Route, ServiceConfig } from "../../src/model/routing.js";
import type { HostRun } from "./virtualHosts.js";

const timeoutMs = 2_000;
const targetLatencyMs = 300;
const drainMs = 1_000;

/** A kind of requests. */
export interface RequestKind {
    content: string;
    isDeadly: boolean;
    /** If deadly: time from the start of the load after which it does not crash targets any more; undefined for never. */
    crashesForMs?: number;
    isIdempotent: boolean;
    /** True if all requests of the kind go to the owner of one key. */
    hasKey: boolean;
    perSecond: number;
}

const service: ServiceConfig = { serviceId: "main" as ServiceId, healthPath: "/", maxConnections: 100, sharded: true, warmUpMs: 0 };

/** The forwarding of one run of a host. */
export class CrashForwarder {
    private readonly guard: QuarantineGuard;
    private readonly workTimes = new WorkTimes();

    /**
     * @param run the host
     * @param random random numbers in [0, 1)
     */
    constructor(private readonly run: HostRun, random: () => number) {
        const { view, owners, admission, process, crashEvidence } = run;
        const neverStops = new AbortController().signal;
        setMaxListeners(0, neverStops);
        const placer = createPlacer({
            view, owners, admission, workTimes: this.workTimes, clock: process.clock, dataCentreId: "here" as DataCentreId, drainMs,
            pauses: new TargetPauses(), rateLimits: new StatedRateLimits(),
            standingOf: (context, nowMs) => standingOfRequest(crashEvidence, context, nowMs),
            addJitter: (delayMs) => delayMs * (0.9 + random() * 0.4),
            waitingRefused: neverStops, usesDataCentreQueues: () => false, random,
        });
        this.guard = createQuarantineGuard({
            placer, crashEvidence, clock: process.clock, requestTrial: (params) => run.node.requestTrial(params),
            returnTrial: (params) => {
                run.node.returnTrial(params);
            },
            isInContact: (nowMs) => run.node.isInContact(nowMs), stopRefusalOf: () => undefined, shutdownStarted: new Signal(),
        });
    }

    /** Returns the state of a new request. */
    createContext({ content, isIdempotent, hasKey }: RequestKind): RequestContext {
        const nowMs = this.run.process.clock.now().monoMs;
        const route: Route = {
            routeId: "route" as RouteId, hostName: "h", pathPrefix: "/", idempotent: isIdempotent, timeoutMs, targetLatencyMs,
            priority: 1, maxAttempts: 2, backends: [{ serviceId: service.serviceId, weight: 1 }],
        };
        const call = { key: hasKey ? hash(content) % (maxKey + 1) as Key : undefined, clientLeft: new AbortController().signal };
        return {
            call: call as unknown as ClientCall, route, service, body: Buffer.alloc(0), getFingerprints: () => fingerprintsOf(content),
            softDeadlineMs: nowMs + targetLatencyMs, deadlineMs: nowMs + timeoutMs, attemptCount: 0, triedTargetIds: new Set(),
            lastConnection: undefined, mayHaveRun: false, expectedMs: typicalWorkMs(route),
        };
    }

    /** Waits for a slot. */
    async place(context: RequestContext): Promise<TargetSlot | Refusal> {
        const refusal = this.guard.refusalOf(context);
        if (refusal !== undefined) {
            return refusal;
        }
        const placement = await this.guard.place(context, undefined);
        if (placement.kind === "client-left") {
            throw new Error("no client leaves in this simulation");
        }
        return placement.kind === "placed" ? placement : placement.refusal;
    }

    /** Records the duration of an answered request. */
    observeWorkTime({ route }: RequestContext, tookMs: number): void {
        this.workTimes.observe(route.routeId, tookMs, typicalWorkMs(route));
    }
}

/** Returns the fingerprints of the requests with a content. */
export function fingerprintsOf(content: string): RequestFingerprints {
    return { content: content as Fingerprint, exact: `${content}/any` as Fingerprint };
}
