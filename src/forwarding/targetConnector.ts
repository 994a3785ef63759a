/** Opens connections to targets: directly, or through another host while this host can't reach a target that others reach. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Member } from "../cluster/membership.js";
import { connectToPeer, isPeerRunning } from "../cluster/peerConnection.js";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Address } from "../model/names.js";
import type { KnownTarget } from "../model/target.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { ReachabilityMonitor } from "../reachability/reachabilityMonitor.js";
import type { ClusterView } from "../store/clusterView.js";
import type { RelayReply } from "./relayMessages.js";
import { checkRelayReply, relayMethods } from "./relayMessages.js";
import type { TargetConnection } from "./targetConnection.js";
import { connectToTarget, createTargetConnection } from "./targetConnection.js";
import { framedStream, unframedStream } from "./targetStream.js";

const connectTimeoutMs = 400;

/** A connection that is not open after this time casts doubt on the path; the target's kernel accepts it even if the target is busy. */
const doubtAfterMs = 150;

/** Time within which another host has to open a relayed connection. */
const relayTimeoutMs = 400;

/** Number of other hosts that are asked in turn for a relayed connection. */
const maxRelaysTried = 3;

/** Dependencies of the connector. */
export interface TargetConnectorDependencies {
    view: ClusterView;
    reachability: ReachabilityMonitor;
    clock: Clock;
    log: Log;
    /** Called for each relayed connection that this host opens, for metrics. */
    onRelayed: () => void;
}

/** Opens connections to targets. */
export interface TargetConnector {
    /**
     * Opens a connection, or fails with a failure of kind `unreachable`.
     * @param timeoutMs time within which a direct connection must be open
     */
    connect(address: Address, timeoutMs?: number): Promise<Result<TargetConnection, Failure>>;
    /**
     * Tells whether an idle connection may carry a request: a direct one not while the path is broken and nothing arrives on any, a relayed
     * one not once the path is sound again.
     */
    mayReuse(address: Address, connection: TargetConnection): boolean;
}

/** Creates the connector. */
export function createTargetConnector({ view, reachability, clock, log, onRelayed }: TargetConnectorDependencies): TargetConnector {
    const targetAt = (address: Address): KnownTarget | undefined => {
        const found = [...view.targets.all()].filter((target) => target.address === address);
        return found.reduce<KnownTarget | undefined>(
            (newest, target) => newest === undefined || target.bornWallMs > newest.bornWallMs ? target : newest, undefined);
    };

    const connectThrough = async (helper: Member, { targetId, address }: KnownTarget): Promise<Result<TargetConnection, Failure>> => {
        const opened = await connectToPeer(helper.peerAddress, {}, clock);
        if (opened.isErr()) {
            reachability.recordHelperFailure(targetId, helper, false);
            return err(opened.error);
        }
        const reply = (await opened.value.call<RelayReply>(relayMethods.relay, { targetId, framed: true }, relayTimeoutMs))
            .andThen((answer) => checkRelayReply(answer, helper.peerAddress));
        if (reply.isOk() && reply.value.refused === undefined) {
            onRelayed();
            const socket = opened.value.detach();
            const stream = reply.value.framed === true
                ? framedStream(socket)
                : unframedStream(socket, () => isPeerRunning(helper.peerAddress, clock, relayTimeoutMs));
            return ok(createTargetConnection(stream, address, helper.hostId));
        }
        opened.value.destroy();
        const isTargetDown = reply.isOk() && reply.value.refused === "unreachable";
        reachability.recordHelperFailure(targetId, helper, isTargetDown);
        return err(reply.isErr() ? reply.error : failure(
            "unreachable", "connect", address, `${reply.value.refused ?? ""} at ${helper.hostId}: ${reply.value.why ?? ""}`,
            reply.value.connectionRefused));
    };

    const connectThroughAny = async (target: KnownTarget): Promise<Result<TargetConnection, Failure>> => {
        let last: Result<TargetConnection, Failure> = err(failure("unreachable", "connect", target.address, "cut off, and no host can help"));
        const helpers = reachability.helpers.ranked(target.targetId, target.dataCentreId, clock.now().monoMs);
        for (const helper of helpers.slice(0, maxRelaysTried)) {
            last = await connectThrough(helper, target);
            log.info(last.isOk() ? "target reached through another host" : "target not reached through another host", {
                target: target.targetId, helper: helper.hostId, ...last.isErr() ? { why: last.error.message } : {},
            });
            if (last.isOk() || reachability.pathTo(target.targetId) === "down") {
                return last;
            }
        }
        return last;
    };

    /** Waits for a connection that is being opened; in doubt, finds out whether the target or the path is to blame. */
    const connectOrCheck = async (target: KnownTarget, timeoutMs: number): Promise<Result<TargetConnection, Failure>> => {
        const direct = connectToTarget(target.address, timeoutMs);
        const early = await Promise.race([direct, clock.sleep(doubtAfterMs).then(() => undefined)]);
        if (early?.isOk() === true || reachability.pathTo(target.targetId) === "down") {
            return early ?? direct;
        }
        const late = await Promise.race([reachability.check(target).then(() => undefined), waitUntilOpen(direct)]);
        if (late !== undefined || reachability.pathTo(target.targetId) !== "severed") {
            return late === undefined ? direct : ok(late);
        }
        void direct.then((opened) => opened.map((connection) => {
            connection.destroy();
        }));
        return connectThroughAny(target);
    };

    return {
        connect: async (address, timeoutMs = connectTimeoutMs) => {
            const target = targetAt(address);
            if (target === undefined) {
                return connectToTarget(address, timeoutMs);
            }
            return reachability.pathTo(target.targetId) === "severed" ? connectThroughAny(target) : connectOrCheck(target, timeoutMs);
        },
        mayReuse: (address, connection) => {
            if (!reachability.hasBrokenPaths()) {
                return connection.relay === undefined;
            }
            const target = targetAt(address);
            const isSevered = target !== undefined && reachability.pathTo(target.targetId) === "severed";
            return connection.relay === undefined ? !isSevered || !reachability.isQuiet() : isSevered;
        },
    };
}

/** Resolves with the connection once it is open, and not at all if it fails. */
function waitUntilOpen(opening: Promise<Result<TargetConnection, Failure>>): Promise<TargetConnection> {
    return new Promise((resolve) => {
        void opening.then((opened) => {
            opened.map(resolve);
        });
    });
}
