/**
 * What an entry host knows of the coordinators. It asks one of them, its own host's if that answers, for what that one
 * knows of all: the cost does not grow with the number of hosts.
 */
import type { Result } from "neverthrow";
import { err } from "neverthrow";
import type { CellId, HostId, Offset, RunId } from "../model/ids.js";
import { hostOfRun } from "../model/ids.js";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Clock } from "../model/time.js";
import type { CoordinatorSight, Ping, RpcLink, ViewReply } from "../coordinator/peerPort.js";
import type { LinkFactory } from "../coordinator/peers.js";
import type { FoldedState } from "../platform/fold.js";
import type { HostListPort, ListedHost } from "../platform/logPort.js";

const listMs = 500;
const viewMs = 75;
const viewTimeoutMs = 150;
const ownHostRetryMs = 2_000;
const stateTimeoutMs = 2_000;

/** A view older than this says nothing about who is alive. */
const staleAfterMs = 400;

interface KnownHost {
    listed: ListedHost;
    link: RpcLink;
}

/** What a view works with. */
export interface CoordinatorViewParts {
    /** This entry's own name. */
    self: RunId;
    /** Host whose coordinator is asked first. */
    ownHost: HostId;
    list: HostListPort;
    createLink: LinkFactory;
    clock: Clock;
    configOffset: () => Offset;
}

/** Follows the coordinators through one of them. */
export class CoordinatorView {
    private readonly hosts = new Map<HostId, KnownHost>();
    private readonly stopping = new AbortController();
    private guide: HostId;
    private guideSinceMs = Number.NEGATIVE_INFINITY;
    private seenMs = Number.NEGATIVE_INFINITY;
    private sights: CoordinatorSight[] = [];
    private offset = 0;

    /** @param parts this entry's names and ports */
    constructor(private readonly parts: CoordinatorViewParts) {
        this.guide = parts.ownHost;
    }

    /** Follows the host list and the view until stopped. */
    async run(): Promise<void> {
        void this.followView();
        while (!this.stopping.signal.aborted) {
            const listed = await this.parts.list.list();
            if (listed.isOk()) {
                this.update(listed.value);
            }
            await this.parts.clock.sleep(listMs, this.stopping.signal);
        }
    }

    /** Ends every task. */
    stop(): void {
        this.stopping.abort();
        for (const { link } of this.hosts.values()) {
            link.close();
        }
    }

    /**
     * Names the live coordinator that acts for a cell.
     * @param cell the cell
     * @param nowMs monotonic time
     * @returns the run with the highest fence, or undefined when none is known
     */
    actingRun(cell: CellId, nowMs: number): RunId | undefined {
        const acting = this.sights.flatMap((sight) => {
            const fence = sight.acting.find((one) => one.cell === cell)?.fence;
            return fence !== undefined && this.isLive(sight.run, nowMs) ? [{ run: sight.run, fence }] : [];
        });
        return acting.sort((left, right) => right.fence - left.fence)[0]?.run;
    }

    /**
     * Tells whether a run of a coordinator is alive, as far as is known.
     * @param run the run
     * @param nowMs monotonic time
     */
    isLive(run: RunId, nowMs: number): boolean {
        const sight = this.sights.find((one) => one.run === run);
        return nowMs - this.seenMs <= staleAfterMs && sight?.live === true && !sight.leaving;
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
        const known = this.hosts.get(host);
        return known === undefined
            ? err(failure("unreachable", "peer-call", host, "the host list does not name this host"))
            : known.link.call<T>(method, params, timeoutMs);
    }

    /**
     * Asks the guide for the agreed state, if it is beyond an offset.
     * @param above the offset
     */
    async fetchState(above: Offset): Promise<FoldedState | undefined> {
        if (this.offset <= above) {
            return undefined;
        }
        const state = await this.callHost<FoldedState | undefined>(this.guide, "state", { above }, stateTimeoutMs);
        return state.isOk() && state.value ? state.value : undefined;
    }

    /** Describes the view for a dump. */
    describe(nowMs: number): object {
        return { guide: this.guide, seenAgoMs: Math.round(nowMs - this.seenMs), coordinators: this.sights };
    }

    private async followView(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            const ping: Ping = { run: this.parts.self, configOffset: this.parts.configOffset() };
            const view = await this.callHost<ViewReply>(this.guide, "view", ping, viewTimeoutMs);
            const nowMs = this.parts.clock.now().monoMs;
            if (view.isOk()) {
                this.seenMs = nowMs;
                this.sights = view.value.coordinators;
                this.offset = view.value.offset;
            }
            this.chooseGuide(view.isOk(), nowMs);
            await this.parts.clock.sleep(viewMs, this.stopping.signal);
        }
    }

    /** Another host's coordinator serves as long as the own one does not answer, which is tried now and then. */
    private chooseGuide(answered: boolean, nowMs: number): void {
        const { ownHost } = this.parts;
        if (answered && (this.guide === ownHost || nowMs - this.guideSinceMs < ownHostRetryMs)) {
            return;
        }
        const hosts = [...this.hosts.keys()];
        const next = hosts[(hosts.indexOf(this.guide) + 1) % Math.max(1, hosts.length)];
        this.guide = answered ? ownHost : next ?? ownHost;
        this.guideSinceMs = nowMs;
    }

    private update(listed: readonly ListedHost[]): void {
        for (const host of listed) {
            const known = this.hosts.get(host.hostId);
            if (known?.listed.coordinatorAddress === host.coordinatorAddress) {
                continue;
            }
            known?.link.close();
            this.hosts.set(host.hostId, { listed: host, link: this.parts.createLink(host.coordinatorAddress) });
        }
    }
}

/**
 * Names the host that an entry's own name belongs to.
 * @param self an entry's name, such as `host-1/entry@0123abcd`
 */
export function hostOfEntry(self: RunId): HostId {
    return hostOfRun(self).replace(/\/entry$/, "") as HostId;
}
