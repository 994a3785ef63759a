/** Injection tokens of the components of a host. */
import type { InjectionToken } from "tsyringe";
import type { AdmissionClient } from "../admission/admissionClient.js";
import type { AdmissionServer } from "../admission/admissionServer.js";
import type { QueueHosts } from "../admission/queueHosts.js";
import type { RetryBudgets } from "../admission/retryBudgets.js";
import type { Membership } from "../cluster/membership.js";
import type { ClusterNode } from "../cluster/node.js";
import type { PeerHandlers } from "../cluster/peerConnection.js";
import type { PeerLinks } from "../cluster/peerLinks.js";
import type { CrashEvidence } from "../crashes/crashEvidence.js";
import type { CrashObserver } from "../crashes/crashObserver.js";
import type { AcceptBacklogMonitor } from "../entry/acceptBacklog.js";
import type { ClientHttp } from "../entry/clientHttp.js";
import type { ConnectionPool } from "../forwarding/connectionPool.js";
import type { ClientDialect } from "../entry/clientDialect.js";
import type { TargetDialect } from "../forwarding/dialect.js";
import type { Forwarder } from "../forwarding/forwarder.js";
import type { Clock } from "../model/time.js";
import type { LogFactory } from "../observe/log.js";
import type { LogWriter } from "../observe/logWriter.js";
import type { Metrics } from "../observe/metrics.js";
import type { RelayServer } from "../forwarding/relayServer.js";
import type { TargetConnector } from "../forwarding/targetConnector.js";
import type { RequestLog } from "../observe/requestLog.js";
import type { ReachabilityMonitor } from "../reachability/reachabilityMonitor.js";
import type { LeasePort } from "../ownership/leasePort.js";
import type { LoadMeter } from "../ownership/loadMeter.js";
import type { OwnerLookup } from "../ownership/ownerLookup.js";
import type { HostSettings } from "../settings/hostSettings.js";
import type { ClusterView } from "../store/clusterView.js";
import type { RecordDecoders } from "../store/recordDecoders.js";
import type { StorePort } from "../store/storePort.js";
import type { TopicReader } from "../store/topicReader.js";
import type { DaemonSettings } from "./daemonSettings.js";

/** A token for components of one type. */
type Token<T> = InjectionToken<T>;

const token = <T>(name: string): Token<T> => Symbol(name);

/** Injection tokens by name of the component. */
export const tokens = {
    settings: token<HostSettings>("settings"),
    daemonSettings: token<DaemonSettings>("daemonSettings"),
    clock: token<Clock>("clock"),
    random: token<() => number>("random"),
    logWriter: token<LogWriter>("logWriter"),
    logFactory: token<LogFactory>("logFactory"),
    metrics: token<Metrics>("metrics"),
    requestLog: token<RequestLog>("requestLog"),
    clientDialects: token<readonly ClientDialect[]>("clientDialects"),
    targetDialect: token<TargetDialect>("targetDialect"),
    store: token<StorePort>("store"),
    decoders: token<RecordDecoders>("decoders"),
    leases: token<LeasePort>("leases"),
    view: token<ClusterView>("view"),
    reader: token<TopicReader>("reader"),
    owners: token<OwnerLookup>("owners"),
    loadMeter: token<LoadMeter>("loadMeter"),
    membership: token<Membership>("membership"),
    /** Starts empty; the handlers are added once the components that serve calls from other hosts exist. */
    peerHandlers: token<PeerHandlers>("peerHandlers"),
    links: token<PeerLinks>("links"),
    /** Watches the listener for other hosts. */
    peerAcceptBacklog: token<AcceptBacklogMonitor>("peerAcceptBacklog"),
    reachability: token<ReachabilityMonitor>("reachability"),
    connector: token<TargetConnector>("connector"),
    relayServer: token<RelayServer>("relayServer"),
    admissionServer: token<AdmissionServer>("admissionServer"),
    queueHosts: token<QueueHosts>("queueHosts"),
    admission: token<AdmissionClient>("admission"),
    retryBudgets: token<RetryBudgets>("retryBudgets"),
    pool: token<ConnectionPool>("pool"),
    crashEvidence: token<CrashEvidence>("crashEvidence"),
    crashObserver: token<CrashObserver>("crashObserver"),
    forwarder: token<Forwarder>("forwarder"),
    clientHttp: token<ClientHttp>("clientHttp"),
    node: token<ClusterNode>("node"),
} as const;
