/**
 * Finds out whether this host is cut off from targets: it opens connections to those in doubt, and asks other hosts whether they reach
 * them.
 */
import type { Member, Membership } from "../cluster/membership.js";
import type { PeerHandlers } from "../cluster/peerConnection.js";
import type { PeerLinks } from "../cluster/peerLinks.js";
import type { TargetReach } from "../cluster/targetReach.js";
import type { HostId, TargetId } from "../model/names.js";
import { Signal, waitFor } from "../model/signal.js";
import type { KnownTarget, TargetEntry } from "../model/target.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { ClusterView } from "../store/clusterView.js";
import { Helpers } from "./helpers.js";
import type { TargetPath } from "./reachabilityBelief.js";
import { ReachabilityBelief } from "./reachabilityBelief.js";
import type { ReachReply } from "./reachabilityMessages.js";
import { checkReachParams, checkReachReply, reachabilityMethods } from "./reachabilityMessages.js";

/** Time within which a connection opens on a sound path even if the target is busy, since the kernel accepts it. */
const connectTimeoutMs = 200;

/** Time within which another host answers; it tries to connect in the meantime. */
const askTimeoutMs = 350;

/** Number of other hosts that are asked, one after the other, until one answers that isn't cut off itself. */
const maxAskedHosts = 3;

/** Time after which the next host is asked even if the one before has not answered yet. */
const askStaggerMs = 100;

/** Number of further targets that are checked once the path to one is broken, to find out whether all paths are. */
const sampleCount = 3;

/** A target is not checked again within this time. */
const recheckAfterMs = 300;

/** Interval at which broken paths are checked again. */
const recheckIntervalMs = 500;

/** Interval at which state of targets that are gone is dropped while no path is broken. */
const idleIntervalMs = 60_000;

/** Number of broken paths that are checked at each interval. */
const maxRechecked = 4;

/** A target that was heard from within this time counts as reached without another connection. */
const heardValidMs = 200;

/** Nothing heard from any target for this long, while requests wait for responses, casts doubt on the paths. */
const quietMs = 250;

/** Dependencies of the monitor. */
export interface ReachabilityMonitorDependencies {
    view: ClusterView;
    membership: Membership;
    links: PeerLinks;
    /** Tries to open a connection to a target; resolves to whether it is open within the time. */
    connect: (target: TargetEntry, timeoutMs: number) => Promise<boolean>;
    clock: Clock;
    random: () => number;
    log: Log;
}

/** What another host answered to the question which targets it reaches. */
interface PeerEvidence {
    helper: Member;
    reached: readonly TargetId[];
}

/** What this host knows of its paths to targets. */
export interface ReachabilityMonitor extends TargetReach {
    /** Other hosts, in the order in which they are asked for help. */
    readonly helpers: Helpers;
    /** Returns what is believed of the path to a target. */
    pathTo(targetId: TargetId): TargetPath;
    /** Tells whether the path to any target is broken. */
    hasBrokenPaths(): boolean;
    /** Tells whether nothing has been heard from any target for a while. */
    isQuiet(): boolean;
    /** Records that a target has sent something on a connection of this host. */
    recordHeard(targetId: TargetId): void;
    /** Records that a host through which a target was to be reached could not reach it. */
    recordHelperFailure(targetId: TargetId, helper: Member, isTargetDown: boolean): void;
    /** Checks a target that does not answer; resolves when it is known whether the path or the target is to blame. */
    check(target: TargetEntry): Promise<void>;
    /** RPC methods for other hosts. */
    handlers(): PeerHandlers;
    /** Checks broken paths again until `signal` aborts. */
    run(signal: AbortSignal): Promise<void>;
    /** Returns the belief for the dump. */
    describe(): object;
}

const idsOf = (targets: readonly TargetEntry[]): TargetId[] => targets.map(({ targetId }) => targetId);

/** Creates the monitor of a host that believes that all paths are open. */
export function createReachabilityMonitor(
    { view, membership, links, connect, clock, random, log }: ReachabilityMonitorDependencies,
): ReachabilityMonitor {
    const belief = new ReachabilityBelief();
    const helpers = new Helpers(membership);
    const changed = new Signal();
    const pathBroken = new Signal();
    const heardMs = new Map<TargetId, number>();
    const checks = new Map<TargetId, { endedMs: number | undefined; done: Promise<void> }>();
    let lastHeardMs = Number.NEGATIVE_INFINITY;
    let lastHelper: HostId | undefined;
    const nowMs = () => clock.now().monoMs;

    const isQuiet = (): boolean => nowMs() - lastHeardMs > quietMs;

    const usableTargets = (): KnownTarget[] => [...view.targets.all()].filter(({ state }) => state === "ready");

    const connectToAll = async (targets: readonly TargetEntry[]) => {
        const isOpen = await Promise.all(targets.map((target) => connect(target, connectTimeoutMs)));
        return {
            reached: targets.filter((_target, index) => isOpen[index] === true),
            unreached: targets.filter((_target, index) => isOpen[index] !== true),
        };
    };

    /** Asks a host which of some targets it reaches; undefined if it can't know. */
    const askPeer = async (helper: Member, targets: readonly TargetEntry[]): Promise<PeerEvidence | undefined> => {
        const reply = (await links.call<ReachReply>(
            helper.peerAddress, reachabilityMethods.reach, { targetIds: idsOf(targets) }, askTimeoutMs,
        )).andThen((answer) => checkReachReply(answer, helper.peerAddress));
        if (reply.isOk() && !reply.value.cutOff) {
            return { helper, reached: reply.value.reached };
        }
        helpers.avoid(helper, nowMs());
        return undefined;
    };

    /** Asks other hosts in turn which of some targets they reach; undefined if none that could know answers. */
    const askPeers = async (targets: readonly TargetEntry[]): Promise<PeerEvidence | undefined> => {
        const [first] = targets;
        if (first === undefined) {
            return undefined;
        }
        const asked = helpers.ranked(first.targetId, first.dataCentreId, nowMs()).slice(0, maxAskedHosts);
        let found: PeerEvidence | undefined;
        const pending: Promise<void>[] = [];
        for (const helper of asked) {
            const answered = askPeer(helper, targets).then((evidence) => {
                found ??= evidence;
            });
            pending.push(answered);
            await Promise.race([answered, clock.sleep(askStaggerMs)]);
            if (found !== undefined) {
                return found;
            }
        }
        await Promise.all(pending);
        return found;
    };

    /**
     * Connects to some targets, asks other hosts about those that can't be reached, and updates the belief.
     * @param isDoubtful true to ask the other hosts at once, since it is likely that no connection opens
     */
    const checkTogether = async (targets: readonly TargetEntry[], isDoubtful: boolean): Promise<void> => {
        const earlyAnswer = isDoubtful ? askPeers(targets) : undefined;
        const { reached, unreached } = await connectToAll(targets);
        const peers = unreached.length === 0 ? undefined : await (earlyAnswer ?? askPeers(unreached));
        const result = {
            reached: idsOf(reached), unreached: idsOf(unreached), isPeerEvidence: peers !== undefined,
            reachedByPeers: idsOf(unreached).filter((targetId) => peers?.reached.includes(targetId) === true),
        };
        const cutOffSinceMs = belief.cutOffSinceMs;
        const change = belief.record(result, usableTargets().length, nowMs());
        if (unreached.length > 0 && cutOffSinceMs === undefined) {
            log.info("targets out of reach", { ...result, helper: peers?.helper.hostId });
        }
        if (change === "cut-off") {
            log.warn("cut off from targets", { ...result, helper: peers?.helper.hostId, heardAgoMs: Math.round(nowMs() - lastHeardMs) });
        }
        if (change === "rejoined") {
            log.info("targets in reach again", { ...result, cutOffMs: Math.round(nowMs() - (cutOffSinceMs ?? nowMs())) });
        }
        if (change !== "none") {
            changed.fire();
        }
        if (belief.severedTargetIds.length > 0) {
            pathBroken.fire();
            lastHelper = peers?.helper.hostId ?? lastHelper;
        }
    };

    const pickOthers = (excluded: TargetId): KnownTarget[] => usableTargets()
        .filter(({ targetId }) => targetId !== excluded && belief.pathTo(targetId, nowMs()) === "open")
        .map((target) => ({ target, order: random() }))
        .sort((left, right) => left.order - right.order)
        .slice(0, sampleCount)
        .map(({ target }) => target);

    const checkOne = async (target: TargetEntry): Promise<void> => {
        await checkTogether([target], true);
        if (belief.cutOffSinceMs === undefined && belief.pathTo(target.targetId, nowMs()) === "severed") {
            await checkTogether([target, ...pickOthers(target.targetId)], false);
        }
    };

    const check = (target: TargetEntry): Promise<void> => {
        const { targetId } = target;
        const known = checks.get(targetId);
        if (known !== undefined && (known.endedMs === undefined || nowMs() - known.endedMs < recheckAfterMs)) {
            return known.done;
        }
        const started = { endedMs: undefined as number | undefined, done: Promise.resolve() };
        started.done = checkOne(target).finally(() => {
            started.endedMs = nowMs();
        });
        checks.set(targetId, started);
        return started.done;
    };

    const recheckBrokenPaths = async () => {
        const isKnown = (targetId: TargetId) => view.targets.get(targetId) !== undefined;
        belief.retain(isKnown);
        [...checks.keys(), ...heardMs.keys()].filter((targetId) => !isKnown(targetId)).forEach((targetId) => {
            checks.delete(targetId);
            heardMs.delete(targetId);
        });
        const severed = belief.severedTargetIds.flatMap((targetId) => view.targets.get(targetId) ?? []);
        const candidates = severed.length > 0 || belief.cutOffSinceMs === undefined ? severed : usableTargets();
        const picked = candidates.map((target) => ({ target, order: random() }))
            .sort((left, right) => left.order - right.order).slice(0, maxRechecked);
        if (picked.length > 0) {
            await checkTogether(picked.map(({ target }) => target), false);
        }
    };

    /** Answers which of some targets this host reaches. */
    const reach = async (params: unknown, peer: string): Promise<ReachReply> => {
        const checked = checkReachParams(params, peer);
        if (checked.isErr()) {
            throw new Error(checked.error.message);
        }
        const asked = checked.value.targetIds.flatMap((targetId) => view.targets.get(targetId) ?? []);
        const heard = asked.filter(({ targetId }) => nowMs() - (heardMs.get(targetId) ?? Number.NEGATIVE_INFINITY) < heardValidMs);
        const { reached } = await connectToAll(asked.filter((target) => !heard.includes(target)));
        const isInDoubt = heard.length + reached.length === 0 && isQuiet();
        return { reached: idsOf([...heard, ...reached]), cutOff: belief.cutOffSinceMs !== undefined || isInDoubt };
    };

    return {
        changed, helpers, check,
        isCutOff: () => belief.cutOffSinceMs !== undefined,
        lastHelper: () => lastHelper,
        pathTo: (targetId) => belief.pathTo(targetId, nowMs()),
        hasBrokenPaths: () => belief.hasBrokenPaths,
        isQuiet,
        recordHeard: (targetId) => {
            lastHeardMs = nowMs();
            heardMs.set(targetId, lastHeardMs);
        },
        recordHelperFailure: (targetId, helper, isTargetDown) => {
            if (isTargetDown) {
                const result = { reached: [], unreached: [targetId], reachedByPeers: [], isPeerEvidence: true };
                belief.record(result, usableTargets().length, nowMs());
                return;
            }
            helpers.avoid(helper, nowMs());
        },
        handlers: () => ({
            [reachabilityMethods.reach]: (params: unknown, from) => reach(params, from.address),
        }),
        run: async (signal) => {
            while (!signal.aborted) {
                await (belief.hasBrokenPaths
                    ? clock.sleep(recheckIntervalMs, signal)
                    : waitFor(clock, idleIntervalMs, [pathBroken], signal));
                await recheckBrokenPaths();
            }
        },
        describe: () => ({
            cutOffMs: belief.cutOffSinceMs === undefined ? undefined : Math.round(nowMs() - belief.cutOffSinceMs),
            severedTargets: belief.severedTargetIds,
            heardAgoMs: Number.isFinite(lastHeardMs) ? Math.round(nowMs() - lastHeardMs) : undefined,
        }),
    };
}
