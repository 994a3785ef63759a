/** What this host knows of the configuration, the targets and the ledger, each with the offset that it was read at. */
import type { RouteTable } from "../routing/routeTable.js";
import { createRouteTable } from "../routing/routeTable.js";
import type { Offset, ServiceId } from "../model/names.js";
import type { RoutingConfig, ServiceConfig } from "../model/routing.js";
import { Signal } from "../model/signal.js";
import type { LedgerChange } from "../ownership/ledger.js";
import { Ledger } from "../ownership/ledger.js";
import type { LeavingTarget } from "../model/target.js";
import { LeavingReports } from "./leavingReports.js";
import type { TargetChange } from "./targetDirectory.js";
import { TargetDirectory } from "./targetDirectory.js";

const noOffset = -1 as Offset;

/** The configuration in force with what is derived from it. */
export interface ConfigInForce {
    config: RoutingConfig;
    routes: RouteTable;
    services: ReadonlyMap<ServiceId, ServiceConfig>;
    offset: Offset;
}

/** State that nothing can turn back: every change carries its offset, and older ones are ignored. */
export class ClusterView {
    readonly targets = new TargetDirectory();
    readonly ledger = new Ledger();
    /** Fires when a configuration comes into force. */
    readonly configChanged = new Signal();
    /** Fires when a target changes in anything that the router acts on. */
    readonly targetsChanged = new Signal();
    /** Fires when the ledger changes. */
    readonly ledgerChanged = new Signal();
    /** What this host saw of targets that leave and is to tell the coordinator. */
    readonly leavingReports = new LeavingReports();
    /** Fires when this host sees that a target leaves. */
    readonly leavingSeen = new Signal();
    private inForce: ConfigInForce | undefined;
    private ownInForce: ConfigInForce | undefined;
    private configReadUpTo = noOffset;
    private targetsReadUpTo = noOffset;
    private changesOfTargets = 0;

    /** Grows whenever a target changes in anything that the router acts on. */
    get targetsVersion(): number {
        return this.changesOfTargets;
    }

    /**
     * Configuration in force, or undefined before the first. What operators publish on the platform goes before the
     * project's own document.
     */
    get config(): ConfigInForce | undefined {
        return this.inForce ?? this.ownInForce;
    }

    /** True while the project's own document is in force. */
    get isOwnConfig(): boolean {
        return this.inForce === undefined && this.ownInForce !== undefined;
    }

    /** Offset up to which the configuration's topic is accounted for; negative before the first reading. */
    get configUpTo(): Offset {
        return this.configReadUpTo;
    }

    /** Offset up to which the targets' topic is accounted for; negative before the first reading. */
    get targetsUpTo(): Offset {
        return this.targetsReadUpTo;
    }

    /**
     * Puts a configuration into force unless a newer one already is.
     * @param config the configuration, or undefined when the records read held none
     * @param offset offset of its record
     * @param upTo offset up to which the topic is now accounted for
     * @returns whether it came into force
     */
    applyConfig(config: RoutingConfig | undefined, offset: Offset, upTo: Offset): boolean {
        this.configReadUpTo = Math.max(this.configReadUpTo, upTo) as Offset;
        if (config === undefined || offset <= (this.inForce?.offset ?? noOffset) || config.version < (this.inForce?.config.version ?? 0)) {
            return false;
        }
        this.inForce = toInForce(config, offset);
        this.configChanged.fire();
        return true;
    }

    /**
     * Puts the project's own document into force.
     * @param config what it was compiled to
     */
    applyOwnConfig(config: RoutingConfig): void {
        this.ownInForce = toInForce(config, noOffset);
        this.configChanged.fire();
    }

    /**
     * Applies changes of targets.
     * @param changes the changes
     * @param upTo offset up to which the topic is now accounted for
     * @param nowMs now
     * @returns the changes that matter
     */
    applyTargets(changes: readonly TargetChange[], upTo: Offset, nowMs: number): TargetChange[] {
        const effective = changes.filter((change) => this.targets.apply(change, nowMs));
        this.targetsReadUpTo = Math.max(this.targetsReadUpTo, upTo) as Offset;
        if (effective.length > 0) {
            this.touchTargets();
        }
        return effective;
    }

    /**
     * Takes in that a target says in an answer to this host that it leaves.
     * @param leaving the process that said so
     * @param nowMs now
     * @returns whether this host did not know it
     */
    seeLeaving(leaving: LeavingTarget, nowMs: number): boolean {
        if (!this.targets.noteLeaving(leaving, nowMs)) {
            return false;
        }
        this.leavingReports.add(leaving);
        this.touchTargets();
        this.leavingSeen.fire();
        return true;
    }

    /**
     * Takes in what another host saw of targets that leave.
     * @param leaving the processes
     * @param nowMs now
     */
    hearOfLeaving(leaving: readonly LeavingTarget[], nowMs: number): void {
        if (leaving.filter((one) => this.targets.noteLeaving(one, nowMs)).length > 0) {
            this.touchTargets();
        }
    }

    /** Notes that targets must be looked at anew, since something about them changed that their entries do not say. */
    touchTargets(): void {
        this.changesOfTargets += 1;
        this.targetsChanged.fire();
    }

    /** Applies changes of the ledger; see `Ledger.apply`. */
    applyLedger(changes: readonly LedgerChange[], from: Offset, upTo: Offset): void {
        if (this.ledger.apply(changes, from, upTo)) {
            this.ledgerChanged.fire();
        }
    }

    /** Replaces the ledger by a snapshot; see `Ledger.replace`. */
    replaceLedger(changes: readonly LedgerChange[], upTo: Offset): void {
        if (this.ledger.replace(changes, upTo)) {
            this.ledgerChanged.fire();
        }
    }
}

function toInForce(config: RoutingConfig, offset: Offset): ConfigInForce {
    return {
        config, offset,
        routes: createRouteTable(config),
        services: new Map(config.services.map((service) => [service.serviceId, service])),
    };
}
