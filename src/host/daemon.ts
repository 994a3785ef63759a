/** Startup and graceful shutdown of a host. */
import { setMaxListeners } from "node:events";
import type net from "node:net";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { DependencyContainer } from "tsyringe";
import { listenForPeers } from "../cluster/peerConnection.js";
import type { AdverseStanding } from "../crashes/crashEvidence.js";
import { monitorStandings } from "../crashes/standingMonitor.js";
import { eraOf, offsetInEra } from "../model/storePosition.js";
import { createReadinessRecorder } from "../observe/listenerRecorder.js";
import type { EndedTask } from "../observe/tasks.js";
import { watchEventLoopDelay } from "../observe/eventLoopDelay.js";
import { runTasks } from "../observe/tasks.js";
import { listen } from "../adapters/listening.js";
import { createAdminHttp, createReadyHttp } from "./adminHttp.js";
import { watchDocument } from "./documentWatcher.js";
import { startListeners } from "./listeners.js";
import { tokens } from "./tokens.js";

/** The load balancer removes a host after two failed readiness checks; new connections may arrive until then. */
const balancerRemovalMs = 2_600;

/** Safety margin between the end of the shutdown and the time at which the platform kills the process. */
const stopReserveMs = 700;

/** Requests that have no slot this long before the shutdown deadline are refused, so that their responses can still be sent. */
const refuseWaitingBeforeDeadlineMs = 900;

/** A request is passed on during the shutdown only if it ends this long before the deadline, so that its response can still be sent. */
const lastEndBeforeDeadlineMs = 200;

/** Interval at which the shutdown checks whether requests are pending and whether this host still coordinates. */
const stopPollMs = 25;

/** A running host. */
export interface Daemon {
    /**
     * Leaves the cluster, asks another host to take over if this host coordinates, and stops accepting clients. Resolves when no request
     * is pending, no connection is relayed and this host does not coordinate any more, or shortly before the platform kills the process.
     */
    stop(): Promise<void>;
    /** Resolves to the first task without which the host is of no use that ends before the host stops. */
    readonly taskEnded: Promise<EndedTask>;
}

/**
 * Starts a host.
 * @param hostContainer container with the components of the host
 * @returns the host, or an error if it cannot listen at all of its addresses; the log then says why
 */
export async function startDaemon(hostContainer: DependencyContainer): Promise<Result<Daemon, "cannot-listen">> {
    const settings = hostContainer.resolve(tokens.settings);
    const clock = hostContainer.resolve(tokens.clock);
    const log = hostContainer.resolve(tokens.logFactory)("host");
    const view = hostContainer.resolve(tokens.view);
    const clients = hostContainer.resolve(tokens.clientHttp);
    const node = hostContainer.resolve(tokens.node);
    const evidence = hostContainer.resolve(tokens.crashEvidence);
    const tasksAbort = new AbortController();
    // One task per connection, target and host listens for this signal, more than the default listener limit allows.
    setMaxListeners(0, tasksAbort.signal);

    const unreadyReason = (): string | undefined => {
        if (tasksAbort.signal.aborted || isStopping) {
            return "stopping";
        }
        if (view.config === undefined) {
            return "no configuration";
        }
        const sharded = view.config.config.services.some((service) => service.sharded);
        return sharded && view.ledger.ownerships().length === 0 ? "no owners" : clients.checkListener(clock.now().monoMs);
    };

    view.configChanged.listen(() => {
        if (view.config !== undefined) {
            clients.setLimits(view.config.config.limits);
        }
    });

    let isStopping = false;
    const peerHandlers = hostContainer.resolve(tokens.peerHandlers);
    const reachability = hostContainer.resolve(tokens.reachability);
    const relayServer = hostContainer.resolve(tokens.relayServer);
    Object.assign(
        peerHandlers, node.handlers(), hostContainer.resolve(tokens.admissionServer).handlers(), reachability.handlers(),
        relayServer.handlers());
    registerGauges(hostContainer);

    const recordReadiness = createReadinessRecorder(log, hostContainer.resolve(tokens.metrics), () => {
        const { accepted, open } = clients.connectionCounts();
        return { acceptedCount: accepted, openCount: open, acceptWaitMs: Math.round(clients.acceptWaitMs(clock.now().monoMs)) };
    });
    const ready = createReadyHttp(() => {
        const why = unreadyReason();
        recordReadiness(why);
        return why === undefined;
    });
    const admin = createAdminHttp({
        unreadyReason,
        dump: () => ({
            ...node.describe(), unready: unreadyReason(), pending: clients.pending(), crashes: evidence.describe(clock.now().monoMs),
            reachability: reachability.describe(), sharing: hostContainer.resolve(tokens.admissionServer).sharing(),
            backlogs: hostContainer.resolve(tokens.admissionServer).backlogs(),
        }),
        metrics: () => hostContainer.resolve(tokens.metrics).text(),
    });
    const { onAccepted: onPeerAccepted } = hostContainer.resolve(tokens.peerAcceptBacklog);
    let peers: net.Server | undefined;
    // The platform kills a previous process of this host, which may still hold the addresses, at the end of the time for its shutdown.
    const areListening = await startListeners([
        { purpose: "clients", address: settings.clientAddress, start: clients.listen },
        { purpose: "ready", address: settings.readyAddress, start: (address, retryForMs) => listen(ready, address, clock, retryForMs) },
        { purpose: "admin", address: settings.adminAddress, start: (address, retryForMs) => listen(admin, address, clock, retryForMs) },
        { purpose: "peers", address: settings.peerAddress, start: async (address, retryForMs) =>
            (await listenForPeers(address, peerHandlers, clock, retryForMs, onPeerAccepted)).map((server) => {
                peers = server;
            }) },
    ], settings.stopTimeoutMs, log);
    if (!areListening) {
        return err("cannot-listen");
    }
    const crashLog = hostContainer.resolve(tokens.logFactory)("crashes");
    const pool = hostContainer.resolve(tokens.pool);
    const admissionServer = hostContainer.resolve(tokens.admissionServer);
    const { eventLoopDelayMs } = hostContainer.resolve(tokens.metrics);
    const onDelay = (delayMs: number) => {
        eventLoopDelayMs.observe(delayMs);
    };
    const endedTask = runTasks([
        { name: "cluster node", isEssential: true, run: node.run },
        { name: "admission queues", isEssential: true, run: admissionServer.run },
        { name: "reachability of targets", isEssential: false, run: reachability.run },
        { name: "connection pool", isEssential: false, run: pool.run },
        { name: "configuration document", isEssential: false, run: (signal) => watchDocument(view, clock, log, signal) },
        { name: "delay of the event loop", isEssential: false, run: (signal) => watchEventLoopDelay({ clock, log, onDelay }, signal) },
        { name: "standings of requests", isEssential: false, run: (signal) => monitorStandings({ evidence, clock, log: crashLog }, signal) },
    ], clock, log, tasksAbort.signal);
    log.info("started", {
        run: hostContainer.resolve(tokens.membership).self.runId, clients: settings.clientAddress, peers: settings.peerAddress,
        admin: settings.adminAddress, store: settings.storeAddress, dataCentre: settings.dataCentreId,
    });

    return ok({
        taskEnded: new Promise((resolve) => {
            void endedTask.then((ended) => {
                if (ended !== undefined) {
                    resolve(ended);
                }
            });
        }),
        stop: async () => {
            const startedMs = clock.now().monoMs;
            isStopping = true;
            const deadlineMs = startedMs + settings.stopTimeoutMs - stopReserveMs;
            clients.startClosingConnections();
            relayServer.announceStop();
            hostContainer.resolve(tokens.forwarder).startShutdown(deadlineMs - lastEndBeforeDeadlineMs);
            log.info("stopping", { pending: clients.pending(), coordinating: node.isCoordinating() });
            node.handOver().catch((error: unknown) => {
                log.error("handing over failed", { why: error instanceof Error ? error.stack : String(error) });
            });
            await clock.sleep(Math.min(balancerRemovalMs, settings.stopTimeoutMs / 2));
            clients.stopAccepting();
            const isBusy = () => clients.pending() > 0 || relayServer.openCount() > 0 || node.isCoordinating();
            while (isBusy() && clock.now().monoMs < deadlineMs) {
                await clock.sleep(stopPollMs);
                if (clock.now().monoMs > deadlineMs - refuseWaitingBeforeDeadlineMs) {
                    hostContainer.resolve(tokens.forwarder).refuseWaiting();
                }
            }
            log.info("stopped", {
                pending: clients.pending(), relayed: relayServer.openCount(), coordinating: node.isCoordinating(),
                ms: Math.round(clock.now().monoMs - startedMs),
            });
            relayServer.close();
            tasksAbort.abort();
            clients.close();
            ready.close();
            admin.close();
            peers?.close();
            hostContainer.resolve(tokens.links).close();
        },
    });
}

function registerGauges(hostContainer: DependencyContainer): void {
    const metrics = hostContainer.resolve(tokens.metrics);
    const clock = hostContainer.resolve(tokens.clock);
    const view = hostContainer.resolve(tokens.view);
    metrics.gauge("hornbeam_config_version", "Version of the configuration in force.", () => view.config?.config.version ?? 0);
    metrics.gauge("hornbeam_ledger_offset", "Ledger offset that this host has reached.", () => offsetInEra(view.ledger.upTo));
    metrics.gauge("hornbeam_store_era", "How often the store has come back from an older copy, as far as this host has read.", () =>
        eraOf(view.ledger.upTo));
    metrics.gauge("hornbeam_knowledge_age_ms", "Milliseconds since the store last confirmed the state that this host acts on.", () =>
        Math.min(1e9, hostContainer.resolve(tokens.node).knowledgeAgeMs(clock.now().monoMs)));
    metrics.gauge("hornbeam_term", "Current term.", () => view.ledger.term?.term ?? 0);
    metrics.gauge("hornbeam_evacuated_data_centres", "Data centres that are evacuated, as far as this host knows.", () =>
        view.evacuations.inForce().length);
    metrics.gauge("hornbeam_coordinating", "1 if this host is the coordinator, else 0.", () =>
        hostContainer.resolve(tokens.node).isCoordinating() ? 1 : 0);
    metrics.gauge("hornbeam_members", "Running hosts that this host knows.", () =>
        hostContainer.resolve(tokens.membership).members().length);
    metrics.gauge("hornbeam_pending_requests", "Requests from clients that have no response yet.", () =>
        hostContainer.resolve(tokens.clientHttp).pending());
    metrics.gauge("hornbeam_client_connections_accepted", "Connections accepted from clients and readiness checks since the start.", () =>
        hostContainer.resolve(tokens.clientHttp).connectionCounts().accepted);
    metrics.gauge("hornbeam_client_connections", "Connections of clients that are open.", () =>
        hostContainer.resolve(tokens.clientHttp).connectionCounts().open);
    metrics.gauge("hornbeam_client_accept_wait_ms", "Bound on the time that connections wait now to be accepted, in milliseconds.", () =>
        hostContainer.resolve(tokens.clientHttp).acceptWaitMs(clock.now().monoMs));
    metrics.gauge("hornbeam_client_held_bytes", "Bytes held for clients, as estimated.", () =>
        hostContainer.resolve(tokens.clientHttp).heldBytes());
    metrics.gauge("hornbeam_idle_connections", "Idle connections to targets.", () =>
        hostContainer.resolve(tokens.pool).idleCount());
    metrics.gauge("hornbeam_cut_off_from_targets", "1 if this host can't reach targets that other hosts reach, else 0.", () =>
        hostContainer.resolve(tokens.reachability).isCutOff() ? 1 : 0);
    metrics.gauge("hornbeam_relayed_connections", "Connections that this host relays for other hosts.", () =>
        hostContainer.resolve(tokens.relayServer).openCount());
    metrics.gauge("hornbeam_queue_waiting", "Requests that wait in the admission queues on this host.", () =>
        hostContainer.resolve(tokens.admissionServer).pressures().reduce((sum, { waiting }) => sum + waiting, 0));
    const sumSharing = (field: "reservedSlots" | "lentSlots" | "callersAboveShare") =>
        hostContainer.resolve(tokens.admissionServer).sharing().reduce((sum, sharing) => sum + sharing[field], 0);
    metrics.gauge("hornbeam_reserved_slots", "Free slots kept for more urgent requests in the admission queues on this host.", () =>
        sumSharing("reservedSlots"));
    metrics.gauge("hornbeam_reserved_slots_lent", "Slots that more urgent requests are expected to need and that others may use now.", () =>
        sumSharing("lentSlots"));
    metrics.gauge("hornbeam_callers_above_share", "Callers that have or wait for more than one slot in a queue on this host.", () =>
        sumSharing("callersAboveShare"));
    const countStandings = (wanted: AdverseStanding["kind"]) => hostContainer.resolve(tokens.crashEvidence)
        .adverseStandings(clock.now().monoMs).filter(({ kind }) => kind === wanted).length;
    metrics.gauge("hornbeam_suspected_fingerprints", "Fingerprints of requests that may crash targets.", () => countStandings("suspected"));
    metrics.gauge("hornbeam_quarantined_fingerprints", "Fingerprints of requests that are refused because they crash targets.", () =>
        countStandings("quarantined") + countStandings("trial-due"));
    metrics.gauge("hornbeam_known_crashes", "Crashes of targets that this host keeps as evidence.", () =>
        hostContainer.resolve(tokens.crashEvidence).crashCount);
    metrics.gauge("hornbeam_log_lines_dropped", "Log lines dropped because standard output was too slow.", () =>
        hostContainer.resolve(tokens.logWriter).dropped);
}
