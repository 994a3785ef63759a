/** Dependency injection: creates the components of a host and connects them. */
import type { DependencyContainer, InjectionToken } from "tsyringe";
import { container, instanceCachingFactory } from "tsyringe";
import { v4 as newUuid } from "uuid";
import { createAdmissionClient } from "../admission/admissionClient.js";
import type { Ticket } from "../admission/admissionRequest.js";
import { createAdmissionServer } from "../admission/admissionServer.js";
import { QueueHosts } from "../admission/queueHosts.js";
import { createRetryBudgets } from "../admission/retryBudgets.js";
import { Membership } from "../cluster/membership.js";
import { createNode } from "../cluster/node.js";
import { createPeerLinks } from "../cluster/peerLinks.js";
import { CrashEvidence } from "../crashes/crashEvidence.js";
import { createCrashObserver } from "../crashes/crashObserver.js";
import { createAcceptBacklogMonitor } from "../entry/acceptBacklog.js";
import { ownDialect } from "../entry/ownDialect.js";
import { createConnectionPool } from "../forwarding/connectionPool.js";
import { createRelayServer } from "../forwarding/relayServer.js";
import { connectToTarget } from "../forwarding/targetConnection.js";
import { createTargetConnector } from "../forwarding/targetConnector.js";
import type { ClientDialect } from "../entry/clientDialect.js";
import type { TargetDialect } from "../forwarding/dialect.js";
import { createForwarder } from "../forwarding/forwarder.js";
import { probeTarget } from "../forwarding/targetProbe.js";
import type { RunId } from "../model/names.js";
import { offsetInEra } from "../model/storePosition.js";
import { createAcceptBacklogRecorder } from "../observe/listenerRecorder.js";
import { createLogger } from "../observe/logger.js";
import { createLogWriter } from "../observe/logWriter.js";
import type { Metrics } from "../observe/metrics.js";
import { createMetrics } from "../observe/metrics.js";
import { createRequestRecorder } from "../observe/requestRecorder.js";
import type { LeasePort } from "../ownership/leasePort.js";
import { LoadMeter } from "../ownership/loadMeter.js";
import { OwnerLookup } from "../ownership/ownerLookup.js";
import { observeLeasePort } from "../reachability/observedLeasePort.js";
import { createReachabilityMonitor } from "../reachability/reachabilityMonitor.js";
import { Splitter } from "../routing/splitter.js";
import type { HostSettings } from "../settings/hostSettings.js";
import { isLoadManaged } from "../settings/loadManagement.js";
import { ClusterView } from "../store/clusterView.js";
import type { RecordDecoders } from "../store/recordDecoders.js";
import type { StorePort } from "../store/storePort.js";
import { createTopicReader } from "../store/topicReader.js";
import { createSystemClock } from "../adapters/systemClock.js";
import { createClientListener } from "./clientListener.js";
import type { DaemonSettings } from "./daemonSettings.js";
import { tokens } from "./tokens.js";

/** Share of the allowed time during which requests are still sent to a target that is about to stop, or that is evacuated. */
const drainShare = 0.65;

/**
 * Share of the allowed time within which this host learns as a rule that a target is about to stop. With `drainShare` it leaves a rest for
 * the way of a request to the target.
 */
const learnLeavingShare = 0.3;

/** Number of a target's heartbeats within which this host reads an entry that the target wrote after its return. */
const heartbeatsUntilEntryRead = 3;

/** Number of characters in a run id. */
const runIdLength = 8;

/** Implementations that the platform's adapter provides. */
export interface HostAdapters {
    clientDialect: ClientDialect;
    targetDialect: TargetDialect;
    decoders: RecordDecoders;
    createStore: (metrics: Metrics) => StorePort;
    createLeases: (metrics: Metrics) => LeasePort;
}

/**
 * Registers factories for the components of a host. Each component is created when it is first resolved.
 * @param settings settings of the host
 * @param daemonSettings settings from flags and environment variables
 * @param adapters implementations that the platform's adapter provides
 */
export function createHostContainer(
    settings: HostSettings, daemonSettings: DaemonSettings, adapters: HostAdapters,
): DependencyContainer {
    const hostContainer = container.createChildContainer();
    const provide = <T>(token: InjectionToken<T>, create: (from: DependencyContainer) => T) => {
        hostContainer.register(token, { useFactory: instanceCachingFactory(create) });
    };
    const drainMs = settings.drainMs * drainShare;

    provide(tokens.settings, () => settings);
    provide(tokens.daemonSettings, () => daemonSettings);
    provide(tokens.clock, createSystemClock);
    provide(tokens.random, () => Math.random);
    provide(tokens.logWriter, () => createLogWriter());
    provide(tokens.logFactory, (from) => createLogger(
        { program: "hornbeam-host", host: settings.hostId, level: daemonSettings.logLevel },
        from.resolve(tokens.logWriter), from.resolve(tokens.clock)));
    provide(tokens.metrics, createMetrics);
    provide(tokens.clientDialects, () => [createOwnDialect(hostContainer), adapters.clientDialect]);
    provide(tokens.targetDialect, () => adapters.targetDialect);
    provide(tokens.decoders, () => adapters.decoders);
    provide(tokens.store, (from) => adapters.createStore(from.resolve(tokens.metrics)));
    provide(tokens.leases, (from) => observeLeasePort(
        adapters.createLeases(from.resolve(tokens.metrics)), from.resolve(tokens.reachability), from.resolve(tokens.view)));
    provide(tokens.view, () => new ClusterView(settings.evacuationMs * drainShare - drainMs, settings.drainMs * learnLeavingShare));
    provide(tokens.owners, (from) => new OwnerLookup(from.resolve(tokens.view), drainMs));
    provide(tokens.loadMeter, () => new LoadMeter());
    provide(tokens.peerHandlers, () => ({}));
    provide(tokens.membership, () => new Membership({
        hostId: settings.hostId,
        runId: newUuid().slice(0, runIdLength) as RunId,
        peerAddress: settings.peerAddress,
        dataCentreId: settings.dataCentreId,
        cpuShare: settings.cpuShare,
        keepsDataCentreQueues: true,
    }));
    provide(tokens.links, (from) => createPeerLinks(from.resolve(tokens.peerHandlers), from.resolve(tokens.clock)));
    provide(tokens.peerAcceptBacklog, (from) => createAcceptBacklogMonitor({
        clock: from.resolve(tokens.clock), atTurnEnd: setImmediate,
        onBacklog: createAcceptBacklogRecorder("peers", from.resolve(tokens.logFactory)("cluster"), from.resolve(tokens.metrics)),
    }));
    provide(tokens.reader, (from) => createTopicReader({
        store: from.resolve(tokens.store),
        decoders: from.resolve(tokens.decoders),
        view: from.resolve(tokens.view),
        clock: from.resolve(tokens.clock),
        log: from.resolve(tokens.logFactory)("store"),
    }));
    provide(tokens.admissionServer, (from) => {
        const owners = from.resolve(tokens.owners);
        const clock = from.resolve(tokens.clock);
        return createAdmissionServer({
            view: from.resolve(tokens.view), clock, drainMs,
            coldAfterReturnMs: settings.targetHeartbeatMs * heartbeatsUntilEntryRead,
            random: from.resolve(tokens.random),
            isSilent: (targetId) => owners.isSilent(targetId, clock.now().monoMs),
            isLoadManaged: () => isLoadManaged(settings, from.resolve(tokens.view).config?.config),
            queueHosts: from.resolve(tokens.queueHosts),
            log: from.resolve(tokens.logFactory)("admission"),
            sharesScarceCapacity: settings.sharesScarceCapacity,
        });
    });
    provide(tokens.queueHosts, (from) => new QueueHosts(from.resolve(tokens.membership), from.resolve(tokens.view)));
    provide(tokens.admission, (from) => createAdmissionClient({
        localServer: from.resolve(tokens.admissionServer),
        membership: from.resolve(tokens.membership),
        queueHosts: from.resolve(tokens.queueHosts),
        links: from.resolve(tokens.links),
        clock: from.resolve(tokens.clock),
        nextTicket: createTicketGenerator(from.resolve(tokens.membership).self.runId),
        log: from.resolve(tokens.logFactory)("admission"),
    }));
    provide(tokens.retryBudgets, (from) => createRetryBudgets(
        { ratio: settings.retryRatio, extra: settings.extraRetries }, () => from.resolve(tokens.membership).members().length));
    provide(tokens.reachability, (from) => createReachabilityMonitor({
        view: from.resolve(tokens.view),
        membership: from.resolve(tokens.membership),
        links: from.resolve(tokens.links),
        connect: async ({ address }, timeoutMs) => {
            const opened = await connectToTarget(address, timeoutMs);
            return opened.match((connection) => {
                from.resolve(tokens.metrics).connections.inc({ kind: "check" });
                from.resolve(tokens.pool).release(address, connection);
                return true;
            }, () => false);
        },
        clock: from.resolve(tokens.clock),
        random: from.resolve(tokens.random),
        log: from.resolve(tokens.logFactory)("reachability"),
    }));
    provide(tokens.connector, (from) => createTargetConnector({
        view: from.resolve(tokens.view),
        reachability: from.resolve(tokens.reachability),
        clock: from.resolve(tokens.clock),
        log: from.resolve(tokens.logFactory)("relay"),
        onRelayed: () => {
            from.resolve(tokens.metrics).relayedConnections.inc({ side: "asked" });
        },
    }));
    provide(tokens.relayServer, (from) => createRelayServer({
        view: from.resolve(tokens.view),
        reachability: from.resolve(tokens.reachability),
        isShuttingDown: () => from.resolve(tokens.membership).isLeaving,
        log: from.resolve(tokens.logFactory)("relay"),
        onRelayed: () => {
            from.resolve(tokens.metrics).relayedConnections.inc({ side: "given" });
        },
    }));
    provide(tokens.pool, (from) => createConnectionPool(from.resolve(tokens.clock), from.resolve(tokens.connector), () => {
        from.resolve(tokens.metrics).connections.inc({ kind: "request" });
    }));
    provide(tokens.requestLog, (from) => createRequestRecorder({
        log: from.resolve(tokens.logFactory)("request"),
        metrics: from.resolve(tokens.metrics),
        clock: from.resolve(tokens.clock),
        configVersion: () => from.resolve(tokens.view).config?.config.version,
        configAgeMs: (nowMs) => from.resolve(tokens.node).configAgeMs(nowMs),
        ledgerStatus: (nowMs) => ({
            ledgerUpTo: offsetInEra(from.resolve(tokens.view).ledger.upTo), ageMs: from.resolve(tokens.node).knowledgeAgeMs(nowMs),
        }),
    }));
    provide(tokens.crashEvidence, () => new CrashEvidence());
    provide(tokens.crashObserver, (from) => createCrashObserver({
        evidence: from.resolve(tokens.crashEvidence),
        view: from.resolve(tokens.view),
        clock: from.resolve(tokens.clock),
        random: from.resolve(tokens.random),
        probe: (address) => probeTarget(from.resolve(tokens.pool), from.resolve(tokens.connector), address),
        log: from.resolve(tokens.logFactory)("crashes"),
        metrics: from.resolve(tokens.metrics),
    }));
    provide(tokens.forwarder, (from) => createForwarder({
        view: from.resolve(tokens.view),
        owners: from.resolve(tokens.owners),
        admission: from.resolve(tokens.admission),
        splitter: new Splitter(from.resolve(tokens.random)),
        retries: from.resolve(tokens.retryBudgets),
        loads: from.resolve(tokens.loadMeter),
        requestLog: from.resolve(tokens.requestLog),
        crashObserver: from.resolve(tokens.crashObserver),
        crashEvidence: from.resolve(tokens.crashEvidence),
        requestTrial: (params) => from.resolve(tokens.node).requestTrial(params),
        returnTrial: (params) => {
            from.resolve(tokens.node).returnTrial(params);
        },
        isInContact: (nowMs) => from.resolve(tokens.node).isInContact(nowMs),
        pool: from.resolve(tokens.pool),
        paths: from.resolve(tokens.reachability),
        dialect: from.resolve(tokens.targetDialect),
        clock: from.resolve(tokens.clock),
        dataCentreId: settings.dataCentreId, drainMs,
        isLoadManaged: () => isLoadManaged(settings, from.resolve(tokens.view).config?.config),
        usesDataCentreQueues: () => settings.loadManagement && from.resolve(tokens.queueHosts).canAllKeepDataCentreQueues(),
        configAgeMs: (nowMs) => from.resolve(tokens.node).configAgeMs(nowMs),
        random: from.resolve(tokens.random),
        sharesScarceCapacity: settings.sharesScarceCapacity,
    }));
    provide(tokens.clientHttp, createClientListener);
    provide(tokens.node, (from) => createNode({
        self: from.resolve(tokens.membership).self,
        maxHoldMs: settings.maxHoldMs,
        configApplyMs: settings.configApplyMs,
        view: from.resolve(tokens.view),
        store: from.resolve(tokens.store),
        reader: from.resolve(tokens.reader),
        membership: from.resolve(tokens.membership),
        owners: from.resolve(tokens.owners),
        links: from.resolve(tokens.links),
        leases: from.resolve(tokens.leases),
        loads: from.resolve(tokens.loadMeter),
        admissionServer: from.resolve(tokens.admissionServer),
        crashEvidence: from.resolve(tokens.crashEvidence),
        crashObserver: from.resolve(tokens.crashObserver),
        targetReach: from.resolve(tokens.reachability),
        clock: from.resolve(tokens.clock),
        log: from.resolve(tokens.logFactory)("cluster"),
        onMove: (move, outcome) => {
            from.resolve(tokens.metrics).moves.inc({ reason: move.reason, outcome });
        },
    }));
    return hostContainer;
}

/** Creates the dialect of the router's own client interface, which is only available while a published document is in force. */
function createOwnDialect(hostContainer: DependencyContainer): ClientDialect {
    const view = hostContainer.resolve(tokens.view);
    return { ...ownDialect, matches: (path, headers) => view.isDocumentConfig && ownDialect.matches(path, headers) };
}

function createTicketGenerator(runId: RunId): () => Ticket {
    let issuedCount = 0;
    return () => {
        issuedCount += 1;
        return `${runId}${issuedCount.toString(36)}` as Ticket;
    };
}
