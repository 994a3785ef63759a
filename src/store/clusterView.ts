/** The configuration, the targets and the ledger as this host knows them, each with the offset up to which it was read. */
import type { RouteTable } from "../routing/routeTable.js";
import { createRouteTable } from "../routing/routeTable.js";
import type { Era, Offset, ServiceId } from "../model/names.js";
import type { RoutingConfig, ServiceConfig } from "../model/routing.js";
import { Signal } from "../model/signal.js";
import type { LedgerChange } from "../ownership/ledger.js";
import { Ledger } from "../ownership/ledger.js";
import type { LeavingTarget } from "../model/target.js";
import type { EvacuationChange } from "./evacuations.js";
import { Evacuations } from "./evacuations.js";
import { LeavingReports } from "./leavingReports.js";
import type { TargetChange } from "./targetDirectory.js";
import { TargetDirectory } from "./targetDirectory.js";

const noOffset = -1 as Offset;
const noVersion = -1;

/** Suits a bound of 5 s and a drain time of 2.5 s; see `Evacuations`. */
const defaultLearnEvacuationsWithinMs = 1_600;

/** A configuration with the tables derived from it. */
export interface ActiveConfig {
    config: RoutingConfig;
    routes: RouteTable;
    services: ReadonlyMap<ServiceId, ServiceConfig>;
    offset: Offset;
}

/** This host's state, which never goes back: every change carries its offset, and older changes are ignored. */
export class ClusterView {
    readonly targets: TargetDirectory;
    readonly ledger = new Ledger();
    /** Data centres that operators have evacuated. */
    readonly evacuations: Evacuations;
    /** Fires when an evacuation begins or ends. */
    readonly evacuationsChanged = new Signal();
    /** Fires when a configuration is applied. */
    readonly configChanged = new Signal();
    /** Fires when a target changes in anything that the router acts on. */
    readonly targetsChanged = new Signal();
    /** Fires when the ledger changes. */
    readonly ledgerChanged = new Signal();
    /** Target processes that announced to this host that they are leaving; reported to the coordinator until it confirms them. */
    readonly leavingReports = new LeavingReports();
    /** Fires when a target announces to this host that it is leaving. */
    readonly leavingObserved = new Signal();
    /** From the platform's configuration topic. */
    private platformConfig: ActiveConfig | undefined;
    /** Compiled from the router's own configuration document. */
    private documentConfig: ActiveConfig | undefined;
    private configReadUpTo = noOffset;
    /** Offsets, by what the store counts now, of the newest configurations that could be decoded and that could not. */
    private readableConfigOffset = noOffset;
    private unreadableConfigOffset = noOffset;
    private targetsReadUpTo = noOffset;
    private targetChangeCount = 0;
    private latestReturn: { era: Era; seenMs: number } | undefined;

    /**
     * @param learnEvacuationsWithinMs see `Evacuations`
     * @param learnLeavingWithinMs see `TargetDirectory`
     */
    constructor(learnEvacuationsWithinMs = defaultLearnEvacuationsWithinMs, learnLeavingWithinMs?: number) {
        this.targets = new TargetDirectory(learnLeavingWithinMs);
        this.evacuations = new Evacuations(learnEvacuationsWithinMs);
    }

    /** Grows whenever a target changes in anything that the router acts on. */
    get targetsVersion(): number {
        return this.targetChangeCount;
    }

    /**
     * The configuration that applies, or undefined before the first. A configuration that operators publish on the platform takes
     * precedence over the router's own configuration document, which therefore applies only once the platform's topic was read.
     */
    get config(): ActiveConfig | undefined {
        return this.platformConfig ?? (this.configReadUpTo > noOffset ? this.documentConfig : undefined);
    }

    /** True while the router's own configuration document applies. */
    get isDocumentConfig(): boolean {
        return this.platformConfig === undefined && this.config !== undefined;
    }

    /** True if the newest configuration, or version of the document that applies, could not be decoded; then `config` is not in force. */
    get isConfigUnreadable(): boolean {
        return this.unreadableConfigOffset > this.readableConfigOffset || (this.isDocumentConfig && this.ledger.isDocumentUnreadable);
    }

    /** Version of the platform's configuration that applies; negative if there is none. */
    get platformConfigVersion(): number {
        return this.platformConfig?.config.version ?? noVersion;
    }

    /** Offset up to which the configuration topic was read; negative before the first reading. */
    get configUpTo(): Offset {
        return this.configReadUpTo;
    }

    /** Offset up to which the targets topic was read; negative before the first reading. */
    get targetsUpTo(): Offset {
        return this.targetsReadUpTo;
    }

    /**
     * Applies a configuration of the platform, unless one of a higher version, or the same one, already applies. Versions decide, since
     * offsets go back when the store is restored from an older copy.
     * @param config the configuration, or undefined when the records read held none
     * @param offset offset of its record
     * @param upTo offset up to which the topic has now been read
     * @returns whether it was applied
     */
    applyConfig(config: RoutingConfig | undefined, offset: Offset, upTo: Offset): boolean {
        const isFirstReading = this.configReadUpTo === noOffset;
        this.configReadUpTo = Math.max(this.configReadUpTo, upTo) as Offset;
        if (config !== undefined) {
            this.readableConfigOffset = Math.max(this.readableConfigOffset, offset) as Offset;
        }
        if (config === undefined || !this.isNewer(config, offset)) {
            if (isFirstReading && this.isDocumentConfig) {
                this.configChanged.fire();
            }
            return false;
        }
        this.platformConfig = toActiveConfig(config, offset);
        this.configChanged.fire();
        return true;
    }

    private isNewer({ version }: RoutingConfig, offset: Offset): boolean {
        const { platformConfig } = this;
        return platformConfig === undefined || version > platformConfig.config.version
            || (version === platformConfig.config.version && offset > platformConfig.offset);
    }

    /**
     * Sets the position from which the configuration topic is read on, after a snapshot of it. A store that was restored from an older
     * copy no longer has the position that was reached before.
     * @param upTo offset up to which the snapshot reflects the topic
     */
    restartConfigReading(upTo: Offset): void {
        this.configReadUpTo = upTo;
        this.readableConfigOffset = noOffset;
        this.unreadableConfigOffset = noOffset;
    }

    /**
     * Applies changes of evacuations to the targets.
     * @param changes changes that `evacuations` has accepted
     * @param nowMs current monotonic time
     */
    applyEvacuations(changes: readonly EvacuationChange[], nowMs: number): void {
        for (const dataCentreId of new Set(changes.map((change) => change.dataCentreId))) {
            this.targets.setEvacuated(dataCentreId, this.evacuations.leavingSinceMs(dataCentreId), nowMs);
        }
        if (changes.length > 0) {
            this.notifyTargetsChanged();
            this.evacuationsChanged.fire();
        }
    }

    /** Remembers that a configuration of the platform could not be decoded. */
    markConfigUnreadable(offset: Offset): void {
        this.unreadableConfigOffset = Math.max(this.unreadableConfigOffset, offset) as Offset;
    }

    /** Applies the configuration compiled from the router's own configuration document. */
    applyDocumentConfig(config: RoutingConfig): void {
        this.documentConfig = toActiveConfig(config, noOffset);
        this.configChanged.fire();
    }

    /**
     * Applies changes of targets.
     * @param changes the changes
     * @param upTo offset up to which the topic has now been read
     * @param nowMs current monotonic time
     * @returns the changes that the router acts on
     */
    applyTargets(changes: readonly TargetChange[], upTo: Offset, nowMs: number): TargetChange[] {
        const effective = changes.filter((change) => this.targets.apply(change, nowMs));
        this.targetsReadUpTo = Math.max(this.targetsReadUpTo, upTo) as Offset;
        if (effective.length > 0) {
            this.notifyTargetsChanged();
        }
        return effective;
    }

    /**
     * Records that a target announced to this host, in an answer, that it is leaving.
     * @param leaving the target process
     * @param nowMs current monotonic time
     * @returns whether this was new to this host
     */
    recordLeaving(leaving: LeavingTarget, nowMs: number): boolean {
        if (!this.targets.markLeaving(leaving, nowMs)) {
            return false;
        }
        this.leavingReports.add(leaving);
        this.notifyTargetsChanged();
        this.leavingObserved.fire();
        return true;
    }

    /**
     * Applies announcements of leaving that other hosts received.
     * @param leaving the target processes
     * @param nowMs current monotonic time
     */
    applyLeaving(leaving: readonly LeavingTarget[], nowMs: number): void {
        if (leaving.filter((one) => this.targets.markLeaving(one, nowMs)).length > 0) {
            this.notifyTargetsChanged();
        }
    }

    /** Makes listeners evaluate the targets again. Also called for changes that are not part of a target's entry. */
    notifyTargetsChanged(): void {
        this.targetChangeCount += 1;
        this.targetsChanged.fire();
    }

    /** Records that this host has seen at a monotonic time that the store came back from an older copy. */
    recordReturn(era: Era, nowMs: number): void {
        if (era > (this.latestReturn?.era ?? 0)) {
            this.latestReturn = { era, seenMs: nowMs };
        }
    }

    /** Returns the monotonic time at which this host first saw an era begin; undefined if it has seen no earlier one. */
    returnSeenMs(era: Era): number | undefined {
        return this.latestReturn?.era === era ? this.latestReturn.seenMs : undefined;
    }

    /** Applies changes of the ledger; see `Ledger.apply`. */
    applyLedger(changes: readonly LedgerChange[], from: Offset, upTo: Offset): void {
        if (this.ledger.apply(changes, from, upTo)) {
            this.ledgerChanged.fire();
        }
    }

    /** Replaces the ledger with a snapshot; see `Ledger.replace`. */
    replaceLedger(changes: readonly LedgerChange[], upTo: Offset, unreadableKeys: readonly string[]): void {
        if (this.ledger.replace(changes, upTo, unreadableKeys)) {
            this.ledgerChanged.fire();
        }
    }
}

function toActiveConfig(config: RoutingConfig, offset: Offset): ActiveConfig {
    return {
        config, offset,
        routes: createRouteTable(config),
        services: new Map(config.services.map((service) => [service.serviceId, service])),
    };
}
