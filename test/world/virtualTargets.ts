/** Simulated targets that hold keys, in virtual time, and the check that no key has two owners. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { ProbeResult } from "../../src/crashes/crashObserver.js";
import type { Failure } from "../../src/model/failure.js";
import { failure } from "../../src/model/failure.js";
import type { Address, DataCentreId, FencingToken, HostId, KeyRange, ServiceId, TargetId } from "../../src/model/names.js";
import { maxKey } from "../../src/model/names.js";
import type { TargetEntry } from "../../src/model/target.js";
import type { Clock } from "../../src/model/time.js";
import type { Grant, GrantReply, LeasePort, LeaseSession } from "../../src/ownership/leasePort.js";
import type { SeededRandom } from "../support/seededRandom.js";
import type { VirtualProcess } from "../support/virtualTime.js";
import type { VirtualStore } from "./virtualStore.js";

const networkDelayMs = 1;
const probeTimeoutMs = 150;

/** Leases last longer than granted by this factor, since a target's clock may run slow by 2 %. */
const clockSlowdown = 1.02;

/** Probabilities of faults, for each grant. */
export interface GrantFaultRates {
    /** The grant is carried out 2 to 12 s later and not answered; its hold time counts from its arrival. */
    lateGrant: number;
    /** The grant is carried out, but not answered. */
    lostAnswer: number;
}

/** A simulated target. When its process ends, its leases and fences are lost. */
export class VirtualTarget {
    /** Number of the run of its process, from 1. */
    incarnation = 1;
    isUp = true;
    /** True while the process runs, but neither reads nor answers. */
    isUnresponsive = false;
    /** True once the process has ended and another target has its address. */
    isAddressReused = false;
    isDraining = false;
    /** Rate limit that it states in its answers to grants and releases; undefined for none. */
    requestsPerSecond: number | undefined;
    /** True while the target publishes its entry in the service directory. */
    isRegistered = true;
    private sequence = 0;
    /** End of the lease on each key, by key. */
    readonly leaseEndMs = new Float64Array(maxKey + 1);
    /** Highest fence that was granted for each key, by key. */
    readonly highestFences = new Float64Array(maxKey + 1);

    /**
     * @param targetId id of the target
     * @param address address at which it listens
     * @param serviceId service that it belongs to
     * @param dataCentreId data centre that it runs in
     */
    constructor(
        readonly targetId: TargetId, readonly address: Address, readonly serviceId: ServiceId, readonly dataCentreId: DataCentreId,
    ) {}

    /** Returns its next entry in the service directory. */
    nextEntry(): TargetEntry {
        this.sequence += 1;
        return {
            targetId: this.targetId, serviceId: this.serviceId, address: this.address, dataCentreId: this.dataCentreId, slots: 3,
            state: this.isDraining ? "draining" : "ready", bornWallMs: this.incarnation, sequence: this.sequence, warmingUp: false,
        };
    }

    /** Ends the process; its leases and fences are lost. */
    crash(): void {
        this.isUp = false;
        this.leaseEndMs.fill(0);
        this.highestFences.fill(0);
    }

    /** Starts the process again. */
    restart(): void {
        this.incarnation += 1;
        this.isUp = true;
        this.isUnresponsive = false;
        this.isDraining = false;
        this.sequence = 0;
    }
}

/** All simulated targets, and the violations of exclusive ownership found so far. */
export class VirtualTargets {
    /** One text for each grant that broke exclusive ownership. */
    readonly violations: string[] = [];
    /** Pairs of host and target that cannot reach each other, as `HOST>TARGET`. */
    readonly blockedLinks = new Set<string>();
    faultRates: GrantFaultRates = { lateGrant: 0, lostAnswer: 0 };
    private readonly targets = new Map<TargetId, VirtualTarget>();

    /**
     * @param clock the clock of the simulation
     * @param random decides which faults occur
     * @param store store to which targets write their entries
     */
    constructor(private readonly clock: Clock, private readonly random: SeededRandom, private readonly store: VirtualStore) {}

    add(target: VirtualTarget): void {
        this.targets.set(target.targetId, target);
    }

    all(): VirtualTarget[] {
        return [...this.targets.values()];
    }

    /** Connects to a target's address as a host does. */
    async probe(hostId: HostId, address: Address, process: VirtualProcess): Promise<ProbeResult> {
        const target = this.all().find((one) => one.address === address);
        const isSilent = target === undefined || target.isUnresponsive || this.blockedLinks.has(`${hostId}>${target.targetId}`);
        await this.clock.sleep(isSilent ? probeTimeoutMs : networkDelayMs * 2);
        await process.waitUntilRunning();
        return isSilent ? "no-answer" : target.isUp ? "listening" : "not-listening";
    }

    /** Writes the entry of every target that runs, answers and is registered, as targets do at each heartbeat. */
    publishEntries(): void {
        for (const target of this.targets.values()) {
            if (target.isUp && !target.isUnresponsive && target.isRegistered) {
                this.store.put("targets", target.targetId, target.nextEntry());
            }
        }
    }

    /** Removes a target from the service directory. */
    deregister(target: VirtualTarget): void {
        target.isRegistered = false;
        this.store.put("targets", target.targetId, undefined);
    }

    /** Returns the share of keys that a running target holds now, from a sample of every 64th key. */
    heldShare(): number {
        const nowMs = this.clock.now().monoMs;
        let heldCount = 0;
        for (let key = 0; key <= maxKey; key += 64) {
            heldCount += this.all().some((target) => target.isUp && (target.leaseEndMs[key] ?? 0) > nowMs) ? 1 : 0;
        }
        return heldCount / ((maxKey + 1) / 64);
    }

    /** Creates a host's port to the leases of all targets. */
    createLeasePort(hostId: HostId, process: VirtualProcess): LeasePort {
        return {
            open: async (targetId, address) => {
                const target = [...this.targets.values()].find((candidate) => candidate.address === address);
                await this.clock.sleep(networkDelayMs);
                if (target?.isAddressReused === true) {
                    await process.waitUntilRunning();
                    return ok(createOtherTargetSession());
                }
                const isRefused = target === undefined || !target.isUp;
                if (!isRefused && (target.isUnresponsive || this.isBlocked(hostId, target))) {
                    await this.clock.sleep(300);
                    await process.waitUntilRunning();
                    return err(failure("unreachable", "connect", targetId, "timed out"));
                }
                await process.waitUntilRunning();
                return isRefused
                    ? err(failure("unreachable", "connect", targetId, "refused", true))
                    : ok(this.createSession(hostId, target, process));
            },
        };
    }

    private isBlocked(hostId: HostId, target: VirtualTarget): boolean {
        return this.blockedLinks.has(`${hostId}>${target.targetId}`);
    }

    private createSession(hostId: HostId, target: VirtualTarget, process: VirtualProcess): LeaseSession {
        const { incarnation } = target;
        let isOpen = true;
        let close: (reason: string) => void = () => undefined;
        const closed = new Promise<string>((resolve) => {
            close = (reason) => {
                isOpen = false;
                resolve(reason);
            };
        });
        const isSameProcess = () => target.isUp && target.incarnation === incarnation;

        /** Performs a call on the session. A call that has not arrived when the session is reset is dropped. */
        const call = async <T>(
            step: "grant" | "release", timeoutMs: number, operation: () => Promise<T | undefined>,
        ): Promise<Result<T, Failure>> => {
            const timeOut = async (): Promise<Result<T, Failure>> => {
                await this.clock.sleep(timeoutMs);
                await process.waitUntilRunning();
                close("no answer");
                return err(failure("lost", step, target.targetId, "no answer in time"));
            };
            if (!isOpen || !isSameProcess()) {
                close("closed by the target");
                return err(failure("unreachable", step, target.targetId, "the connection is closed"));
            }
            await this.clock.sleep(networkDelayMs + (this.random.chance(0.05) ? this.random.integerUpTo(200) : 0));
            if (!isOpen || !isSameProcess() || target.isUnresponsive || this.isBlocked(hostId, target)) {
                return timeOut();
            }
            const answer = await Promise.race([operation(), this.clock.sleep(timeoutMs).then(() => undefined)]);
            if (answer === undefined || this.isBlocked(hostId, target) || !isSameProcess()) {
                return timeOut();
            }
            await this.clock.sleep(networkDelayMs);
            await process.waitUntilRunning();
            return ok(answer);
        };

        return {
            get isOpen() {
                return isOpen && isSameProcess();
            },
            closed,
            isLeaving: false,
            get requestsPerSecond() {
                return target.requestsPerSecond;
            },
            grant: (grant, timeoutMs) => call<GrantReply>("grant", timeoutMs, () => this.receiveGrant(target, grant)),
            release: async (range, fence, timeoutMs) => {
                const released = await call<{ handover: string }>("release", timeoutMs, () => this.release(target, range, fence));
                return released.map(({ handover }) => handover);
            },
            reset: () => {
                close("reset");
            },
        };
    }

    /** Handles a grant on its arrival. Returns undefined if it is not answered. */
    private receiveGrant(target: VirtualTarget, grant: Grant): Promise<GrantReply | undefined> {
        const arrivedMs = this.clock.now().monoMs;
        if (this.random.chance(this.faultRates.lateGrant)) {
            const { incarnation } = target;
            void this.clock.sleep(2_000 + this.random.integerUpTo(10_000)).then(() => {
                if (target.isUp && target.incarnation === incarnation) {
                    this.applyGrant(target, grant, arrivedMs);
                }
            });
            return Promise.resolve(undefined);
        }
        const reply = this.applyGrant(target, grant, arrivedMs);
        return Promise.resolve(this.random.chance(this.faultRates.lostAnswer) ? undefined : reply);
    }

    /** Carries out a grant, and records a violation if it breaks exclusive ownership. */
    private applyGrant(target: VirtualTarget, { range, fence, holdMs }: Grant, arrivedMs: number): GrantReply {
        for (let key: number = range.from; key <= range.to; key++) {
            if ((target.highestFences[key] ?? 0) > fence) {
                return "outdated";
            }
        }
        const leaseEndMs = arrivedMs + holdMs * clockSlowdown;
        const nowMs = this.clock.now().monoMs;
        if (leaseEndMs > nowMs) {
            this.checkSoleOwner(target, range, fence, nowMs);
        }
        target.highestFences.fill(fence, range.from, range.to + 1);
        for (let key: number = range.from; key <= range.to; key++) {
            target.leaseEndMs[key] = Math.max(target.leaseEndMs[key] as number, leaseEndMs);
        }
        return "granted";
    }

    private checkSoleOwner(target: VirtualTarget, { from, to }: KeyRange, fence: FencingToken, nowMs: number): void {
        for (const other of this.all().filter((candidate) => candidate !== target && candidate.isUp)) {
            for (let key: number = from; key <= to; key++) {
                if ((other.leaseEndMs[key] as number) > nowMs) {
                    this.violations.push(`${String(nowMs)}: key ${String(key)} granted to ${target.targetId} with fence ${String(fence)} while ${other.targetId} holds it until ${String(other.leaseEndMs[key])}`);
                    return;
                }
                if ((other.highestFences[key] as number) >= fence) {
                    this.violations.push(`${String(nowMs)}: key ${String(key)} granted to ${target.targetId} with fence ${String(fence)}, which is not above the fence at ${other.targetId}`);
                    return;
                }
            }
        }
    }

    private async release(target: VirtualTarget, { from, to }: KeyRange, fence: FencingToken): Promise<{ handover: string }> {
        target.leaseEndMs.fill(0, from, to + 1);
        await this.clock.sleep(this.random.chance(0.2) ? this.random.integerUpTo(1_500) : this.random.integerUpTo(100));
        return { handover: `handover-${String(fence)}` };
    }
}

/** Creates a session with another target that now has the address of the one meant. */
function createOtherTargetSession(): LeaseSession {
    return {
        isOpen: true,
        isLeaving: false, requestsPerSecond: undefined,
        closed: new Promise(() => undefined),
        grant: () => Promise.resolve(ok("other-target" as const)),
        release: () => Promise.resolve(err(failure("refused", "release", "other", "status 421"))),
        reset: () => undefined,
    };
}
