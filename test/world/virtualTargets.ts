/** Targets that hold keys, on virtual time, and the oracle that watches who holds what. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure } from "../../src/model/failure.js";
import { failure } from "../../src/model/failure.js";
import type { Address, DataCentreId, Fence, HostId, KeyRange, ServiceId, TargetId } from "../../src/model/names.js";
import { maxKey } from "../../src/model/names.js";
import type { TargetEntry } from "../../src/model/target.js";
import type { Clock } from "../../src/model/time.js";
import type { Grant, GrantReply, LeasePort, LeaseSession } from "../../src/ownership/leasePort.js";
import type { Random } from "../support/random.js";
import type { VirtualProcess } from "../support/virtualTime.js";
import type { VirtualStore } from "./virtualStore.js";

const wayMs = 1;

/** A target's clock may run slow by 2 %. */
const clockSlowness = 1.02;

/** Faults of grants; all are chances for each grant. */
export interface GrantWeather {
    /** Carried out 2 to 12 s later and not answered; its time counts from its arrival. */
    late: number;
    /** Carried out and not answered. */
    loseAnswer: number;
}

/** A target. One run of its process forgets everything when it ends. */
export class VirtualTarget {
    life = 1;
    isUp = true;
    /** Up, but neither reads nor answers. */
    isDark = false;
    /** Ended, and another target has its address. */
    isReplaced = false;
    draining = false;
    listed = true;
    private sequence = 0;
    readonly untilMs = new Float64Array(maxKey + 1);
    readonly fences = new Float64Array(maxKey + 1);

    /**
     * @param targetId its id
     * @param address where it listens
     * @param serviceId its service
     * @param dataCentreId where it stands
     */
    constructor(
        readonly targetId: TargetId, readonly address: Address, readonly serviceId: ServiceId, readonly dataCentreId: DataCentreId,
    ) {}

    /** Its entry in the service directory. */
    entry(): TargetEntry {
        this.sequence += 1;
        return {
            targetId: this.targetId, serviceId: this.serviceId, address: this.address, dataCentreId: this.dataCentreId, slots: 3,
            state: this.draining ? "draining" : "ready", bornWallMs: this.life, sequence: this.sequence, warmingUp: false,
        };
    }

    /** Ends the process; with it goes all that it held and knew. */
    crash(): void {
        this.isUp = false;
        this.untilMs.fill(0);
        this.fences.fill(0);
    }

    /** Starts the process again. */
    restart(): void {
        this.life += 1;
        this.isUp = true;
        this.isDark = false;
        this.draining = false;
        this.sequence = 0;
    }
}

/** All targets, and what went wrong with their keys. */
export class VirtualTargets {
    readonly violations: string[] = [];
    /** Pairs of host and target between which nothing passes. */
    readonly cuts = new Set<string>();
    weather: GrantWeather = { late: 0, loseAnswer: 0 };
    private readonly targets = new Map<TargetId, VirtualTarget>();

    /**
     * @param clock the time line
     * @param random decides about faults
     * @param store where targets write their entries
     */
    constructor(private readonly clock: Clock, private readonly random: Random, private readonly store: VirtualStore) {}

    add(target: VirtualTarget): void {
        this.targets.set(target.targetId, target);
    }

    all(): VirtualTarget[] {
        return [...this.targets.values()];
    }

    /** Writes every live target's entry, as they do at each heartbeat; takes out those that have been silent. */
    beat(): void {
        for (const target of this.targets.values()) {
            if (target.isUp && !target.isDark && target.listed) {
                this.store.put("targets", target.targetId, target.entry());
            }
        }
    }

    /** Takes a target out of the directory. */
    unlist(target: VirtualTarget): void {
        target.listed = false;
        this.store.put("targets", target.targetId, undefined);
    }

    /** Keys that a live target holds now. */
    heldKeys(): number {
        const nowMs = this.clock.now().monoMs;
        let held = 0;
        for (let key = 0; key <= maxKey; key += 64) {
            held += this.all().some((target) => target.isUp && (target.untilMs[key] ?? 0) > nowMs) ? 1 : 0;
        }
        return held / ((maxKey + 1) / 64);
    }

    /** Creates a host's port to the leases. */
    portFor(hostId: HostId, process: VirtualProcess): LeasePort {
        return {
            open: async (targetId, address) => {
                const target = [...this.targets.values()].find((one) => one.address === address);
                await this.clock.sleep(wayMs);
                if (target?.isReplaced === true) {
                    await process.pass();
                    return ok(createForeignSession());
                }
                const refused = target === undefined || !target.isUp;
                if (!refused && (target.isDark || this.isCut(hostId, target))) {
                    await this.clock.sleep(300);
                    await process.pass();
                    return err(failure("unreachable", "connect", targetId, "timed out"));
                }
                await process.pass();
                return refused ? err(failure("unreachable", "connect", targetId, "refused", true)) : ok(this.createSession(hostId, target, process));
            },
        };
    }

    private isCut(hostId: HostId, target: VirtualTarget): boolean {
        return this.cuts.has(`${hostId}>${target.targetId}`);
    }

    private createSession(hostId: HostId, target: VirtualTarget, process: VirtualProcess): LeaseSession {
        const { life } = target;
        let open = true;
        let close: (reason: string) => void = () => undefined;
        const closed = new Promise<string>((resolve) => {
            close = (reason) => {
                open = false;
                resolve(reason);
            };
        });
        const isSame = () => target.isUp && target.life === life;

        /** Carries a call; nothing arrives after the session was reset. */
        const carry = async <T>(step: "grant" | "release", timeoutMs: number, act: () => Promise<T | undefined>): Promise<Result<T, Failure>> => {
            const lost = async (): Promise<Result<T, Failure>> => {
                await this.clock.sleep(timeoutMs);
                await process.pass();
                close("no answer");
                return err(failure("lost", step, target.targetId, "no answer in time"));
            };
            if (!open || !isSame()) {
                close("closed by the target");
                return err(failure("unreachable", step, target.targetId, "the connection is closed"));
            }
            await this.clock.sleep(wayMs + (this.random.chance(0.05) ? this.random.upTo(200) : 0));
            if (!open || !isSame() || target.isDark || this.isCut(hostId, target)) {
                return lost();
            }
            const answered = await Promise.race([act(), this.clock.sleep(timeoutMs).then(() => undefined)]);
            if (answered === undefined || this.isCut(hostId, target) || !isSame()) {
                return lost();
            }
            await this.clock.sleep(wayMs);
            await process.pass();
            return ok(answered);
        };

        return {
            get isOpen() {
                return open && isSame();
            },
            closed,
            isLeaving: false,
            grant: (grant, timeoutMs) => carry<GrantReply>("grant", timeoutMs, () => this.take(target, grant)),
            release: async (range, fence, timeoutMs) => {
                const released = await carry<{ handover: string }>("release", timeoutMs, () => this.release(target, range, fence));
                return released.map(({ handover }) => handover);
            },
            reset: () => {
                close("reset");
            },
        };
    }

    private take(target: VirtualTarget, grant: Grant): Promise<GrantReply | undefined> {
        const arrivedMs = this.clock.now().monoMs;
        if (this.random.chance(this.weather.late)) {
            const { life } = target;
            void this.clock.sleep(2_000 + this.random.upTo(10_000)).then(() => {
                if (target.isUp && target.life === life) {
                    this.apply(target, grant, arrivedMs);
                }
            });
            return Promise.resolve(undefined);
        }
        const reply = this.apply(target, grant, arrivedMs);
        return Promise.resolve(this.random.chance(this.weather.loseAnswer) ? undefined : reply);
    }

    private apply(target: VirtualTarget, { range, fence, holdMs }: Grant, arrivedMs: number): GrantReply {
        for (let key: number = range.from; key <= range.to; key++) {
            if ((target.fences[key] ?? 0) > fence) {
                return "outdated";
            }
        }
        const untilMs = arrivedMs + holdMs * clockSlowness;
        const nowMs = this.clock.now().monoMs;
        if (untilMs > nowMs) {
            this.checkSoleOwner(target, range, fence, nowMs);
        }
        target.fences.fill(fence, range.from, range.to + 1);
        for (let key: number = range.from; key <= range.to; key++) {
            target.untilMs[key] = Math.max(target.untilMs[key] as number, untilMs);
        }
        return "granted";
    }

    private checkSoleOwner(target: VirtualTarget, { from, to }: KeyRange, fence: Fence, nowMs: number): void {
        for (const other of this.all().filter((one) => one !== target && one.isUp)) {
            for (let key: number = from; key <= to; key++) {
                if ((other.untilMs[key] as number) > nowMs) {
                    this.violations.push(`${String(nowMs)}: key ${String(key)} granted to ${target.targetId} under ${String(fence)} while ${other.targetId} holds it until ${String(other.untilMs[key])}`);
                    return;
                }
                if ((other.fences[key] as number) >= fence) {
                    this.violations.push(`${String(nowMs)}: key ${String(key)} granted to ${target.targetId} under ${String(fence)}, no higher than at ${other.targetId}`);
                    return;
                }
            }
        }
    }

    private async release(target: VirtualTarget, { from, to }: KeyRange, fence: Fence): Promise<{ handover: string }> {
        target.untilMs.fill(0, from, to + 1);
        await this.clock.sleep(this.random.chance(0.2) ? this.random.upTo(1_500) : this.random.upTo(100));
        return { handover: `handover-${String(fence)}` };
    }
}

/** A connection to another target at an address that was used again. */
function createForeignSession(): LeaseSession {
    return {
        isOpen: true,
        isLeaving: false,
        closed: new Promise(() => undefined),
        grant: () => Promise.resolve(ok("other-target" as const)),
        release: () => Promise.resolve(err(failure("refused", "release", "other", "status 421"))),
        reset: () => undefined,
    };
}
