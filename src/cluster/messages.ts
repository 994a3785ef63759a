/** Messages between the coordinator and the other hosts. */
import type { TargetPressure } from "../admission/queueKeeper.js";
import type { Offset, RunId, Term } from "../model/names.js";
import type { LeavingTarget } from "../model/target.js";
import type { RoutingConfig } from "../model/routing.js";
import type { LedgerChange } from "../ownership/ledger.js";
import type { KeyLoads } from "../ownership/loadMeter.js";
import type { OwnershipNotice } from "../ownership/owners.js";
import type { TargetChange } from "../store/targetDirectory.js";
import type { MemberNews, MemberState } from "./memberList.js";
import type { Member } from "./membership.js";

/** Methods that hosts offer each other. */
export const clusterMethods = {
    /** A host asks the coordinator for news. */
    follow: "follow",
    /** The coordinator gives news. */
    news: "news",
    /** A host tells the coordinator what it counted. */
    report: "report",
    /** A host asks the coordinator to stop, and takes over when it has. */
    resign: "resign",
    /** A coordinator that leaves asks a host to take over. */
    succeed: "succeed",
    /** A new coordinator makes itself known, also to hosts that cannot read the store. */
    announce: "announce",
    /** A host that cannot read the store asks for the configuration. */
    configuration: "configuration",
} as const;

/** A host asks for news from certain offsets on. */
export interface FollowParams {
    member: Member;
    ledgerUpTo: Offset;
    /** Changes of targets are wanted from here on; 0 for all. */
    targetsFrom: Offset;
    /** What is known of a coordinator's list of hosts. */
    members?: MemberState;
}

/** Answer to `FollowParams`. */
export type FollowReply =
    | { accepted: true; news: News }
    /** The process that was asked does not coordinate. */
    | { accepted: false; runId: RunId };

/** What the coordinator says; changes only, on a connection that keeps the order. */
export interface News {
    term: Term;
    /** Time since the store last confirmed the coordinator's reading. */
    storeAgeMs: number;
    /** Offset of the configuration in force at the coordinator. */
    configOffset: Offset;
    targetsUpTo: Offset;
    /** See `TargetDirectory.digest`. */
    targetsDigest: number;
    targets?: readonly TargetChange[];
    ledgerUpTo: Offset;
    /** Every change of the ledger from an offset on, with that offset. */
    ledgerFrom?: Offset;
    ledger?: readonly LedgerChange[];
    notice?: OwnershipNotice;
    /** Processes of targets that some host saw leave. */
    leavingTargets?: readonly LeavingTarget[];
    /** State of the coordinator's list of hosts at work. */
    membersVersion: number;
    members?: MemberNews;
}

/** What a host tells the coordinator now and then; it also shows that the host is at work. */
export interface Report {
    loads: readonly KeyLoads[];
    pressures: readonly TargetPressure[];
    /** Processes of targets that the host saw leave; repeated until the coordinator makes them known. */
    leavingTargets?: readonly LeavingTarget[];
    /** True once the host has begun to leave; it gets no more duties. */
    leaving: boolean;
}

/** A coordinator's answer to the wish to take over. */
export type ResignReply =
    | { resigned: true; grantsLastMs: number }
    | { resigned: false };

/** A configuration with its place. */
export interface ConfigurationReply {
    config: RoutingConfig;
    offset: Offset;
}
