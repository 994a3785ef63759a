/** Runs a host from its start to its end. */
import { setMaxListeners } from "node:events";
import type { DependencyContainer } from "tsyringe";
import { listenForPeers } from "../cluster/peerConnection.js";
import { watchDocument } from "../config/documentWatcher.js";
import { createAdminHttp, createReadyHttp, listen } from "./adminHttp.js";
import { tokens } from "./tokens.js";

/** The balancer takes a host out after two questions; new connections may come until then. */
const balancerNoticeMs = 2_600;

/** Time kept in reserve before the process is ended from outside. */
const stopReserveMs = 700;

/** Requests that have no slot yet are turned away so long before the end, so that their answers still go out. */
const lastAnswersMs = 900;

const pollMs = 25;

/** A running host. */
export interface Daemon {
    /** Stops taking clients, finishes what is under way, hands duties over. */
    stop(): Promise<void>;
}

/**
 * Starts a host.
 * @param host its parts
 */
export async function startDaemon(host: DependencyContainer): Promise<Daemon> {
    const settings = host.resolve(tokens.settings);
    const clock = host.resolve(tokens.clock);
    const log = host.resolve(tokens.logFactory)("host");
    const view = host.resolve(tokens.view);
    const clients = host.resolve(tokens.clients);
    const node = host.resolve(tokens.node);
    const stopping = new AbortController();
    // One task for each connection, target and host waits for it.
    setMaxListeners(0, stopping.signal);

    const unreadyBecause = (): string | undefined => {
        if (stopping.signal.aborted || isLeaving) {
            return "stopping";
        }
        if (view.config === undefined) {
            return "no configuration";
        }
        const sharded = view.config.config.services.some((service) => service.sharded);
        return sharded && view.ledger.ownerships().length === 0 ? "no owners" : undefined;
    };

    view.configChanged.listen(() => {
        if (view.config !== undefined) {
            clients.setLimits(view.config.config.limits);
        }
    });

    let isLeaving = false;
    const peerHandlers = host.resolve(tokens.peerHandlers);
    Object.assign(peerHandlers, node.handlers(), host.resolve(tokens.queues).handlers());
    registerGauges(host);

    const peers = await listenForPeers(settings.peerAddress, peerHandlers, clock);
    const ready = createReadyHttp(() => unreadyBecause() === undefined);
    const admin = createAdminHttp({
        unreadyBecause,
        dump: () => ({ ...node.describe(), unready: unreadyBecause(), pending: clients.pending() }),
        metrics: () => host.resolve(tokens.metrics).text(),
    });
    await Promise.all([listen(ready, settings.readyAddress), listen(admin, settings.adminAddress), clients.listen(settings.clientAddress)]);
    void watchDocument(view, clock, log, stopping.signal);
    void host.resolve(tokens.pool).run(stopping.signal);
    void host.resolve(tokens.queues).run(stopping.signal);
    void node.run(stopping.signal);
    log.info("started", {
        run: host.resolve(tokens.membership).self.runId, clients: settings.clientAddress, peers: settings.peerAddress,
        admin: settings.adminAddress, store: settings.storeAddress, dataCentre: settings.dataCentreId,
    });

    return {
        stop: async () => {
            const startedMs = clock.now().monoMs;
            isLeaving = true;
            clients.startClosingConnections();
            host.resolve(tokens.forwarder).startShutdown();
            log.info("stopping", { pending: clients.pending(), coordinating: node.isCoordinating() });
            void node.handOver();
            const latestMs = startedMs + settings.stopTimeoutMs - stopReserveMs;
            await clock.sleep(Math.min(balancerNoticeMs, settings.stopTimeoutMs / 2));
            clients.stopAccepting();
            const isBusy = () => clients.pending() > 0 || node.isCoordinating();
            while (isBusy() && clock.now().monoMs < latestMs) {
                await clock.sleep(pollMs);
                if (clock.now().monoMs > latestMs - lastAnswersMs) {
                    host.resolve(tokens.forwarder).refuseWaiting();
                }
            }
            log.info("stopped", { pending: clients.pending(), coordinating: node.isCoordinating(), ms: Math.round(clock.now().monoMs - startedMs) });
            stopping.abort();
            clients.close();
            ready.close();
            admin.close();
            peers.close();
            host.resolve(tokens.links).close();
            await host.resolve(tokens.logWriter).flush();
        },
    };
}

function registerGauges(host: DependencyContainer): void {
    const metrics = host.resolve(tokens.metrics);
    const clock = host.resolve(tokens.clock);
    const view = host.resolve(tokens.view);
    metrics.gauge("hornbeam_config_version", "Version of the configuration in force.", () => view.config?.config.version ?? 0);
    metrics.gauge("hornbeam_ledger_offset", "Offset up to which the ledger is known.", () => view.ledger.upTo);
    metrics.gauge("hornbeam_knowledge_age_ms", "Time since the store confirmed what this host knows.", () =>
        Math.min(1e9, host.resolve(tokens.node).knowledgeAgeMs(clock.now().monoMs)));
    metrics.gauge("hornbeam_term", "Term in force.", () => view.ledger.term?.term ?? 0);
    metrics.gauge("hornbeam_coordinating", "1 on the coordinator.", () => host.resolve(tokens.node).isCoordinating() ? 1 : 0);
    metrics.gauge("hornbeam_members", "Hosts known to be at work.", () => host.resolve(tokens.membership).members().length);
    metrics.gauge("hornbeam_pending_requests", "Requests without an answer.", () => host.resolve(tokens.clients).pending());
    metrics.gauge("hornbeam_idle_connections", "Open connections to targets without a request.", () => host.resolve(tokens.pool).idleCount());
    metrics.gauge("hornbeam_queue_waiting", "Requests in queues kept here.", () =>
        host.resolve(tokens.queues).pressures().reduce((sum, { waiting }) => sum + waiting, 0));
    metrics.gauge("hornbeam_log_lines_dropped", "Log lines that standard output did not take.", () => host.resolve(tokens.logWriter).dropped);
}
