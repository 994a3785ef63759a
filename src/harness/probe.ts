/** Reads and orders against a running fleet while faults strike, and the verdict on what callers were told. */
import type { Clock } from "../model/time.js";
import type { Caller, CallerAnswer } from "./caller.js";
import { newOrderId } from "./caller.js";
import type { Fleet } from "./fleet.js";

const readEveryMs = 10;
const readDeadlineMs = 300;
const orderDeadlineMs = 2_000;

/** What a probe found. */
export interface ProbeVerdict {
    /** Longest time without a right answer to a read, over all keys. */
    longestGapMs: number;
    /** Sum over the keys of the times beyond `gapAboveMs` without a right answer. */
    unavailableMs: number;
    orders: number;
    done: number;
    notRun: number;
    unknown: number;
    lost: number;
    /** Orders that ran more than once; must be 0. */
    doubled: number;
    /** Orders that ran though a caller was told `not-run`; must be 0. */
    falseNotRun: number;
    /** Orders that are in no server's record though a caller was told `done`; must be 0. */
    falseDone: number;
}

/** Gaps up to this long are ordinary answers' times and pauses between reads. */
const gapAboveMs = 100;

/** Settings of a probe. */
export interface ProbeOptions {
    pool: string;
    keys: string[];
    ordersPerSecond: number;
    /** Pause between two reads of a key; 10 ms when absent. */
    readEveryMs?: number;
}

/** Reads every key all the time, and gives orders at a rate, through hosts that answer. */
export class Probe {
    private stopped = false;
    private readonly gaps = new Map<string, number[]>();
    private readonly told = new Map<string, CallerAnswer[]>();
    private readonly tasks: Promise<void>[] = [];

    /**
     * @param fleet the fleet
     * @param caller sends the requests
     * @param clock clocks of this process
     * @param options keys and rates
     */
    constructor(
        private readonly fleet: Fleet,
        private readonly caller: Caller,
        private readonly clock: Clock,
        private readonly options: ProbeOptions,
    ) {}

    /** Begins to read and order. */
    start(): void {
        this.options.keys.forEach((key, index) => {
            this.tasks.push(this.keepReading(key, index));
        });
        if (this.options.ordersPerSecond > 0) {
            this.tasks.push(this.keepOrdering());
        }
    }

    /** Ends, and judges what callers were told by the servers' own record. */
    async finish(): Promise<ProbeVerdict> {
        this.stopped = true;
        await Promise.all(this.tasks);
        const gaps = [...this.gaps.values()].flat();
        const runs = this.fleet.runsByOrderId();
        const answers = [...this.told.values()].flat();
        const countOf = (outcome: string) => answers.filter((answer) => answer.outcome === outcome).length;
        const ordersTold = (outcome: string) => [...this.told].filter(([, told]) => told.some((answer) => answer.outcome === outcome));
        return {
            longestGapMs: Math.round(Math.max(0, ...gaps)),
            unavailableMs: Math.round(gaps.filter((gap) => gap > gapAboveMs).reduce((sum, gap) => sum + gap, 0)),
            orders: this.told.size,
            done: countOf("done"), notRun: countOf("not-run"), unknown: countOf("unknown"), lost: countOf("lost"),
            doubled: [...runs].filter(([orderId, count]) => this.told.has(orderId) && count > 1).length,
            falseNotRun: ordersTold("not-run").filter(([orderId]) => runs.has(orderId)).length,
            falseDone: ordersTold("done").filter(([orderId]) => !runs.has(orderId)).length,
        };
    }

    private async keepReading(key: string, index: number): Promise<void> {
        const gaps: number[] = [];
        this.gaps.set(key, gaps);
        let turn = index;
        let servedMs = this.clock.now().monoMs;
        while (!this.stopped) {
            const answer = await Promise.race([
                this.caller.read(this.url(turn), this.options.pool, key, this.clock.now().wallMs + readDeadlineMs),
                this.clock.sleep(readDeadlineMs).then(() => undefined),
            ]);
            const nowMs = this.clock.now().monoMs;
            if (answer?.outcome === "done") {
                gaps.push(nowMs - servedMs);
                servedMs = nowMs;
            }
            else {
                turn += 1;
            }
            await this.clock.sleep(this.options.readEveryMs ?? readEveryMs);
        }
        gaps.push(this.clock.now().monoMs - servedMs);
    }

    /** Every order is sent twice through different hosts, as by a caller that lost its first answer. */
    private async keepOrdering(): Promise<void> {
        const sent: Promise<void>[] = [];
        for (let number = 0; !this.stopped; number += 1) {
            const key = this.options.keys[number % this.options.keys.length] as string;
            const orderId = newOrderId();
            this.told.set(orderId, []);
            sent.push(this.sendOrder(orderId, key, number), this.sendOrder(orderId, key, number + 1));
            await this.clock.sleep(1_000 / this.options.ordersPerSecond);
        }
        await Promise.all(sent);
    }

    private async sendOrder(orderId: string, key: string, turn: number): Promise<void> {
        const deadlineWallMs = this.clock.now().wallMs + orderDeadlineMs;
        const answer = await this.caller.order(this.url(turn), this.options.pool, key, orderId, orderId, deadlineWallMs);
        this.told.get(orderId)?.push(answer);
    }

    private url(turn: number): string {
        const urls = this.fleet.readyEntryUrls.length > 0 ? this.fleet.readyEntryUrls : this.fleet.entryUrls;
        return urls[turn % urls.length] as string;
    }
}
