/** Messages between the coordinator and the other hosts. */
import type { TargetPressure } from "../ownership/targetPressure.js";
import type { CrashEvidenceUpdate } from "../crashes/crashReport.js";
import type { Era, Offset, RunId, Term } from "../model/names.js";
import type { LeavingTarget } from "../model/target.js";
import type { RoutingConfig } from "../model/routing.js";
import type { LedgerChange } from "../ownership/ledgerRecords.js";
import type { KeyLoadReport } from "../ownership/loadMeter.js";
import type { OwnershipNotice } from "../ownership/ownerLookup.js";
import type { EvacuationChange } from "../store/evacuations.js";
import type { TargetChange } from "../store/targetDirectory.js";
import type { MemberListUpdate, MemberListVersion } from "./memberList.js";
import type { Member } from "./membership.js";

/** Time within which a host answers a call of another one. */
export const callTimeoutMs = 500;

/** RPC methods that hosts offer each other. */
export const clusterMethods = {
    /** A host asks the coordinator for its current state, and for updates from then on. */
    follow: "follow",
    /** The coordinator sends an update. */
    news: "news",
    /** A host reports loads and leaving targets to the coordinator. */
    report: "report",
    /** A host asks the coordinator to resign, in order to take over. */
    resign: "resign",
    /** A host asks whether a request may run once after its quarantine. */
    trial: "trial",
    /** A host returns a trial whose request has certainly not run. */
    trialReturn: "trialReturn",
    /** A coordinator that is leaving, or cut off from targets, asks a host to take over. */
    succeed: "succeed",
    /** A new coordinator announces its term, so that hosts that cannot read the store learn of it too. */
    announce: "announce",
    /** A host asks another one that knows a newer configuration for it. */
    configuration: "configuration",
} as const;

/** Parameters of `follow`: what the host knows already. */
export interface FollowParams {
    member: Member;
    /** Changes of the ledger are requested from this position on; all of it is sent to a host that knows an earlier era's only. */
    ledgerUpTo: Offset;
    /** Changes of targets are requested from this offset on; 0 for all. */
    targetsFrom: Offset;
    /** Version of the member list that the host has; absent if it has none. */
    members?: MemberListVersion;
}

/** Answer to `FollowParams`. */
export type FollowReply =
    | { accepted: true; news: News }
    /** The process that was asked does not coordinate; `runId` identifies it. */
    | { accepted: false; runId: RunId };

/** An update from the coordinator. It holds changes only, since the connection preserves the order of the updates. */
export interface News {
    term: Term;
    /** Time since the store last confirmed the coordinator's state. */
    storeAgeMs: number;
    /** Time since the store last confirmed the coordinator's configuration; absent in messages of earlier versions. */
    configAgeMs?: number;
    /**
     * Monotonic time, by the clock of the receiving host, at which this was sent at the earliest; absent before the coordinator has a
     * report of that host, and in messages of earlier versions.
     */
    sentAtMs?: number;
    /** Offset of the configuration that the coordinator applies; -1 if it has none. */
    configOffset: Offset;
    /** Version of the platform's configuration that the coordinator applies, -1 without one; absent in messages of earlier versions. */
    configVersion?: number;
    /** Offset up to which the coordinator has read the targets topic. */
    targetsUpTo: Offset;
    /** See `TargetDirectory.digest`. */
    targetsDigest: number;
    targets?: readonly TargetChange[];
    /** Offset up to which the coordinator knows the ledger. */
    ledgerUpTo: Offset;
    /** `ledger` holds every change from this offset on; 0 for the whole ledger. */
    ledgerFrom?: Offset;
    ledger?: readonly LedgerChange[];
    notice?: OwnershipNotice;
    /** Target processes that announced to some host that they are leaving. */
    leavingTargets?: readonly LeavingTarget[];
    /** All evacuations in force, as the coordinator has read them; absent if unchanged, and in messages of earlier versions. */
    evacuations?: EvacuationList;
    /** Crashes of targets, and what was there. */
    crashEvidence?: CrashEvidenceUpdate;
    /** Version of the coordinator's member list. */
    membersVersion: number;
    members?: MemberListUpdate;
}

/** The evacuations in force by the records below an offset of the configuration topic. */
export interface EvacuationList {
    upTo: Offset;
    inForce: readonly EvacuationChange[];
}

/** What a host reports to the coordinator at regular intervals; the report also serves as its heartbeat. */
export interface Report {
    loads: readonly KeyLoadReport[];
    pressures: readonly TargetPressure[];
    /** Target processes that announced to this host that they are leaving; repeated until the coordinator confirms them. */
    leavingTargets?: readonly LeavingTarget[];
    /** What this host has observed of crashes since its last report; all that it knows in its first report to a coordinator. */
    crashEvidence?: CrashEvidenceUpdate;
    /** Latest era of the store that the host knows from the ledger; absent in messages of earlier versions. */
    storeEra?: Era;
    /** True once the host has begun to leave; the coordinator then removes it from the member list, so that it gets no more duties. */
    leaving: boolean;
    /** Monotonic time at which the report was sent, by the host's clock; absent in messages of earlier versions. */
    sentAtMs?: number;
    /** Version of the platform's configuration that the host applies, -1 without one; absent in messages of earlier versions. */
    configVersion?: number;
}

/** Answer to `resign`; `grantsLastMs` is the time until all grants of the coordinator have expired. */
export type ResignReply =
    | { resigned: true; grantsLastMs: number }
    | { resigned: false };

/** Answer to `succeed`; absent in messages of earlier versions. */
export interface SucceedReply {
    /** False if the host that was asked is no better successor. */
    accepted: boolean;
}

/** A configuration with the offset of its record. */
export interface ConfigurationReply {
    config: RoutingConfig;
    offset: Offset;
}
