/** A network between virtual processes: delays, cuts of either way, copies that arrive late, silent connections. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure, Step } from "../../src/model/failure.js";
import { failure } from "../../src/model/failure.js";
import type { Random } from "./random.js";
import type { VirtualClock, VirtualProcess } from "./virtualTime.js";

const latencyMs = 1;
const silentDropMs = 600;

/** How badly the network behaves; all are chances for each message. */
export interface Weather {
    late: number;
    longestDelayMs: number;
    copied: number;
}

export const calm: Weather = { late: 0, longestDelayMs: 0, copied: 0 };

/** A call between two processes. */
export interface Call<T> {
    from: string;
    to: string;
    step: Step;
    timeoutMs: number;
    /** What the called process does. */
    serve: () => T | Promise<T>;
    /** True for calls on a connection of their own. */
    fresh?: boolean;
}

/** Carries calls. */
export class Network {
    readonly cuts = new Set<string>();
    readonly silent = new Set<string>();
    readonly processes = new Map<string, VirtualProcess>();
    weather: Weather = calm;

    constructor(private readonly clock: VirtualClock, private readonly random: Random) {}

    /** Cuts messages from one process to another; the other way stays open. */
    cut(from: string, to: string): void {
        this.cuts.add(`${from}>${to}`);
    }

    heal(): void {
        this.cuts.clear();
        this.silent.clear();
    }

    dropIdle(from: string, to: string): void {
        this.silent.delete(`${from}>${to}`);
    }

    async call<T>(call: Call<T>): Promise<Result<T, Failure>> {
        const lost = (kind: Failure["kind"], message: string) => err(failure(kind, call.step, call.to, message));
        const caller = this.processes.get(call.from);
        const called = this.processes.get(call.to);
        if (called === undefined || called.dead) {
            await this.clock.sleep(latencyMs);
            await caller?.pass();
            return lost("unreachable", "connection refused");
        }
        const timeout = this.clock.sleep(call.timeoutMs).then(() => lost("lost", "no answer in time"));
        const result = await Promise.race([this.carry(call, called), timeout]);
        await caller?.pass();
        return result;
    }

    private async carry<T>(call: Call<T>, called: VirtualProcess): Promise<Result<T, Failure>> {
        if (this.silent.has(`${call.from}>${call.to}`) && call.fresh !== true) {
            await this.clock.sleep(silentDropMs);
            this.dropIdle(call.from, call.to);
            return err(failure("lost", call.step, call.to, "the connection went silent"));
        }
        if (this.random.chance(this.weather.copied)) {
            void this.deliver(call, called, this.random.upTo(this.weather.longestDelayMs));
        }
        const answer = await this.deliver(call, called, this.delayMs());
        await this.clock.sleep(this.delayMs());
        await this.passCut(call.to, call.from);
        return ok(answer);
    }

    private async deliver<T>(call: Call<T>, called: VirtualProcess, delayMs: number): Promise<T> {
        await this.clock.sleep(delayMs);
        await this.passCut(call.from, call.to);
        await called.pass();
        return structuredClone(await call.serve());
    }

    /** A message that meets a cut is lost: its task never goes on. */
    private async passCut(from: string, to: string): Promise<void> {
        if (this.cuts.has(`${from}>${to}`)) {
            await new Promise(() => undefined);
        }
    }

    private delayMs(): number {
        return this.random.chance(this.weather.late) ? this.random.upTo(this.weather.longestDelayMs) : latencyMs;
    }
}
