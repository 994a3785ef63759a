/** Keeps in touch with the coordinators of the other hosts: one task a peer. */
import type { Result } from "neverthrow";
import { err } from "neverthrow";
import type { CellId, HostId, Offset, RunId } from "../model/ids.js";
import { hostOfRun } from "../model/ids.js";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Clock } from "../model/time.js";
import type { FoldedState } from "../platform/fold.js";
import type { HostListPort, ListedHost } from "../platform/logPort.js";
import type { CoordinatorSight, HandOver, Ping, PingReply, RpcLink, WatchedRun } from "./peerPort.js";
import type { CoordinatorHost } from "./assignment.js";
import type { PeerView } from "./succession.js";
import { suspectMs } from "./succession.js";

const watchMs = 75;
const pingMs = 500;
const silentMs = 800;
const pingTimeoutMs = 200;
const listMs = 500;
const stateTimeoutMs = 2_000;

/** A host that may coordinate, with the run that answers there. */
export interface SteadyHost extends CoordinatorHost {
    run: RunId;
}

/** Creates the link to a peer's address. */
export type LinkFactory = (address: string) => RpcLink;

interface Peer {
    listed: ListedHost;
    link: RpcLink;
    heardMs: number;
    /** Since when it has been heard without a gap; a host that flaps is not steady. */
    steadySinceMs: number;
    last?: PingReply;
    /** True while it is asked at the close pace. */
    watched: boolean;
    gone: boolean;
}

/** The other hosts: what the list says, and what they answer themselves. */
export class Peers {
    private readonly peers = new Map<HostId, Peer>();
    private listedSelf: ListedHost | undefined;
    private readonly stopping = new AbortController();

    /**
     * @param self this run of this host's coordinator
     * @param list port to the host list
     * @param createLink creates links to peers
     * @param clock clocks of this process
     * @param configOffset offset of the configuration in force here
     * @param watches runs that this host may have to follow; they are asked more often
     */
    constructor(
        private readonly self: RunId,
        private readonly list: HostListPort,
        private readonly createLink: LinkFactory,
        private readonly clock: Clock,
        private readonly configOffset: () => Offset,
        private readonly watches: () => ReadonlySet<RunId>,
    ) {}

    /** Reads the host list again and again; a list that cannot be read changes nothing. */
    async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            const listed = await this.list.list();
            if (listed.isOk()) {
                this.update(listed.value);
            }
            await this.clock.sleep(listMs, this.stopping.signal);
        }
    }

    /** Ends every task. */
    stop(): void {
        this.stopping.abort();
        for (const peer of this.peers.values()) {
            peer.link.close();
        }
    }

    /**
     * Tells what the peers say about a cell.
     * @param cell the cell
     * @param nowMs monotonic time
     * @returns one view for each listed peer
     */
    viewsOf(cell: CellId, nowMs: number): PeerView[] {
        return [...this.peers.values()].flatMap((peer) => peer.last === undefined ? [] : [{
            heardMs: peer.heardMs,
            live: isHeard(peer, nowMs),
            run: peer.last.run,
            leaving: peer.last.leaving,
            actingFence: peer.last.acting.find((acting) => acting.cell === cell)?.fence,
        }]);
    }

    /**
     * Lists the hosts that may coordinate: their own answers go before the list, but a host that the list calls
     * leaving, or no longer names, is given nothing new.
     * @param nowMs monotonic time
     * @param steadyMs how long a host must have answered without a gap
     * @returns the hosts, this one included when it is listed
     */
    steadyHosts(nowMs: number, steadyMs: number): SteadyHost[] {
        const steady = [...this.peers.values()].flatMap((peer) => {
            const listed = !peer.gone && peer.listed.state === "live";
            const fit = listed && isHeard(peer, nowMs) && nowMs - peer.steadySinceMs >= steadyMs;
            return fit && peer.last?.leaving === false ? [{ ...hostOf(peer.listed), run: peer.last.run }] : [];
        });
        return this.listedSelf === undefined ? steady : [...steady, { ...hostOf(this.listedSelf), run: this.self }];
    }

    /**
     * Tells whether a run of a coordinator answered lately.
     * @param run the run
     * @param nowMs monotonic time
     * @returns true for this run itself too
     */
    isLive(run: RunId, nowMs: number): boolean {
        const peer = this.peers.get(hostOfRun(run));
        return run === this.self || (peer?.last?.run === run && isHeard(peer, nowMs) && !peer.last.leaving);
    }

    /** Runs that this host watches, and whether it hears them. */
    watchedRuns(nowMs: number): WatchedRun[] {
        return [...this.watches()].filter((run) => run !== this.self).map((run) => ({ run, heard: this.isLive(run, nowMs) }));
    }

    /** What this host knows of the others' coordinators. */
    sights(nowMs: number): CoordinatorSight[] {
        return [...this.peers.values()].flatMap((peer) => peer.last === undefined ? [] : [{
            run: peer.last.run, acting: peer.last.acting, leaving: peer.last.leaving, live: isHeard(peer, nowMs),
        }]);
    }

    /**
     * Tells whether at least half of the live hosts that watch a run, this one included, hear it.
     * @param run the run
     * @param nowMs monotonic time
     * @returns false when the run is cut off from most of those that may follow it
     */
    isHeardByHalf(run: RunId, nowMs: number): boolean {
        const accounts = [...this.peers.values()]
            .filter((peer) => isHeard(peer, nowMs) && peer.last?.run !== run)
            .flatMap((peer) => peer.last?.watched.find((one) => one.run === run) ?? []);
        const hear = accounts.filter((account) => account.heard).length + (this.isLive(run, nowMs) ? 1 : 0);
        return hear * 2 >= accounts.length + 1;
    }

    /** IP numbers that the list names. */
    listedAddresses(): Set<string> {
        const listed = [...this.peers.values()].map((peer) => peer.listed);
        return new Set(listed.map((host) => host.coordinatorAddress.split(":")[0] ?? ""));
    }

    /**
     * Asks the peer with the highest offset for its state, if it is beyond an offset.
     * @param above the offset
     * @returns the state, or undefined when no peer is ahead
     */
    async fetchState(above: Offset): Promise<FoldedState | undefined> {
        const ahead = [...this.peers.values()]
            .filter((peer) => (peer.last?.offset ?? 0) > above)
            .sort((left, right) => (right.last?.offset ?? 0) - (left.last?.offset ?? 0));
        for (const peer of ahead) {
            const state = await peer.link.call<FoldedState | undefined>("state", { above }, stateTimeoutMs);
            if (state.isOk() && state.value) {
                return state.value;
            }
        }
        return undefined;
    }

    /**
     * Calls a host's coordinator.
     * @param host the host
     * @param method name of the method
     * @param params its argument
     * @param timeoutMs how long to wait for the answer
     * @returns the answer, or a failure
     */
    async callHost<T>(host: HostId, method: string, params: object, timeoutMs: number): Promise<Result<T, Failure>> {
        const peer = this.peers.get(host);
        return peer === undefined
            ? err(failure("unreachable", "peer-call", host, "the host list does not name this host"))
            : peer.link.call<T>(method, params, timeoutMs);
    }

    /**
     * Hands a cell over.
     * @param to the successor
     * @param handOver its orders
     * @param timeoutMs how long to wait for the answer
     * @returns true when the successor has it
     */
    async handOver(to: RunId, handOver: HandOver, timeoutMs: number): Promise<boolean> {
        const taken = await this.peers.get(hostOfRun(to))?.link.call<boolean>("handOver", handOver, timeoutMs);
        return taken?.unwrapOr(false) ?? false;
    }

    /** Describes the peers for a dump. */
    describe(nowMs: number): object[] {
        return [...this.peers.values()].map((peer) => ({
            host: peer.listed.hostId,
            listed: peer.listed.state,
            heardAgoMs: Math.round(nowMs - peer.heardMs),
            offset: peer.last?.offset,
            acting: peer.last?.acting,
        }));
    }

    private update(listed: readonly ListedHost[]): void {
        this.listedSelf = listed.find((host) => host.hostId === hostOfRun(this.self));
        for (const host of listed) {
            if (host.hostId !== hostOfRun(this.self) && !this.peers.has(host.hostId)) {
                void this.keepPinging(this.add(host));
            }
        }
        for (const [hostId, peer] of this.peers) {
            const now = listed.find((host) => host.hostId === hostId);
            peer.gone = now === undefined;
            if (now !== undefined && now.coordinatorAddress !== peer.listed.coordinatorAddress) {
                peer.link.close();
                peer.link = this.createLink(now.coordinatorAddress);
            }
            peer.listed = now ?? peer.listed;
        }
    }

    private add(listed: ListedHost): Peer {
        const peer: Peer = {
            listed,
            link: this.createLink(listed.coordinatorAddress),
            heardMs: Number.NEGATIVE_INFINITY,
            steadySinceMs: Number.POSITIVE_INFINITY,
            watched: false,
            gone: false,
        };
        this.peers.set(listed.hostId, peer);
        return peer;
    }

    /** A host that has left the list is still pinged while it answers, since the list may be wrong. */
    private async keepPinging(peer: Peer): Promise<void> {
        while (!this.stopping.signal.aborted) {
            const ping: Ping = { run: this.self, configOffset: this.configOffset() };
            const reply = await peer.link.call<PingReply>("ping", ping, pingTimeoutMs);
            const nowMs = this.clock.now().monoMs;
            if (reply.isOk()) {
                if (!isHeard(peer, nowMs) || peer.last?.run !== reply.value.run) {
                    peer.steadySinceMs = nowMs;
                }
                peer.heardMs = nowMs;
                peer.last = reply.value;
            }
            else if (peer.gone && !isHeard(peer, nowMs)) {
                this.peers.delete(peer.listed.hostId);
                peer.link.close();
                return;
            }
            peer.watched = peer.last !== undefined && this.watches().has(peer.last.run);
            await this.clock.sleep(peer.watched ? watchMs : pingMs, this.stopping.signal);
        }
    }
}

function hostOf(listed: ListedHost): CoordinatorHost {
    return { hostId: listed.hostId, dataCentre: listed.dataCentre };
}

function isHeard(peer: Peer, nowMs: number): boolean {
    return nowMs - peer.heardMs <= (peer.watched ? suspectMs : silentMs);
}
