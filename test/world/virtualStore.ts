/** The platform's store on virtual time, with its faults: outages, refusals, lost answers, appends that take effect late. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure } from "../../src/model/failure.js";
import { failure } from "../../src/model/failure.js";
import type { HostId, Offset } from "../../src/model/names.js";
import { Signal, waitFor } from "../../src/model/signal.js";
import type { Clock } from "../../src/model/time.js";
import type { AppendOutcome, NewRecord, ReadOutcome, StorePort, StoreRecord, TopicName, TopicSnapshot } from "../../src/store/storePort.js";
import type { Random } from "../support/random.js";
import type { VirtualProcess } from "../support/virtualTime.js";

const answerMs = 4;
const callTimeoutMs = 1_200;

interface Topic {
    records: StoreRecord[];
    grown: Signal;
}

/** Faults in force; all are chances for each call. */
export interface StoreWeather {
    /** An append takes effect and is not answered. */
    loseAnswer: number;
    /** An append takes effect some seconds later, if its condition still holds, and is not answered. */
    lateAppend: number;
}

/** The store. */
export class VirtualStore {
    readonly refusing = new Set<HostId>();
    readonly cutFrom = new Set<HostId>();
    isDown = false;
    /** Calls that hosts sent. */
    calls = 0;
    weather: StoreWeather = { loseAnswer: 0, lateAppend: 0 };
    private readonly topics = new Map<TopicName, Topic>();

    /**
     * @param clock the time line
     * @param random decides about faults
     */
    constructor(private readonly clock: Clock, private readonly random: Random) {}

    /** Writes as operators and targets do; works whatever the hosts see of the store. */
    put(topic: TopicName, key: string, value: object | undefined): void {
        this.add(topic, [{ key, value: value === undefined ? undefined : Buffer.from(JSON.stringify(value)) }]);
    }

    /**
     * Creates a host's view of the store.
     * @param hostId the host
     * @param process its process; calls of a dead or paused one do not go on
     */
    portFor(hostId: HostId, process: VirtualProcess): StorePort {
        const reach = async <T>(step: "store-read" | "store-append", act: () => Promise<T | undefined>): Promise<Result<T, Failure>> => {
            const giveUp = async () => {
                await this.clock.sleep(callTimeoutMs);
                await process.pass();
                return err(failure("lost", step, "store", "no answer in time"));
            };
            this.calls += 1;
            if (this.isDown || this.cutFrom.has(hostId)) {
                return giveUp();
            }
            await this.clock.sleep(answerMs);
            if (this.refusing.has(hostId)) {
                await process.pass();
                return err(failure("refused", step, "store", "status 503"));
            }
            const result = await act();
            if (result === undefined || this.cutFrom.has(hostId)) {
                return giveUp();
            }
            await process.pass();
            return ok(result);
        };
        return {
            snapshot: (topic) => reach("store-read", () => Promise.resolve(this.snapshot(topic))),
            read: (topic, from, waitMs) => reach("store-read", () => this.read(topic, from, waitMs)),
            append: (records, expectedEnd) => reach("store-append", () => this.append(records, expectedEnd)),
        };
    }

    private topicOf(name: TopicName): Topic {
        const known = this.topics.get(name) ?? { records: [], grown: new Signal() };
        this.topics.set(name, known);
        return known;
    }

    private add(name: TopicName, records: readonly NewRecord[]): Offset {
        const topic = this.topicOf(name);
        const offset = topic.records.length as Offset;
        records.forEach((record, index) => topic.records.push({ ...record, offset: offset + index as Offset }));
        topic.grown.fire();
        return offset;
    }

    private snapshot(name: TopicName): TopicSnapshot {
        const { records } = this.topicOf(name);
        const newest = new Map(records.map((record) => [record.key, record]));
        return { records: [...newest.values()].filter(({ value }) => value !== undefined), upTo: records.length as Offset };
    }

    private async read(name: TopicName, from: Offset, waitMs: number): Promise<ReadOutcome> {
        const topic = this.topicOf(name);
        if (from >= topic.records.length && waitMs > 0) {
            await waitFor(this.clock, waitMs, [topic.grown]);
        }
        return { kind: "page", page: { records: topic.records.slice(from), next: Math.max(from, topic.records.length) as Offset } };
    }

    private append(records: readonly NewRecord[], expectedEnd: Offset | undefined): Promise<AppendOutcome | undefined> {
        if (this.random.chance(this.weather.lateAppend)) {
            void this.clock.sleep(1_000 + this.random.upTo(5_000)).then(() => this.appendNow(records, expectedEnd));
            return Promise.resolve(undefined);
        }
        const outcome = this.appendNow(records, expectedEnd);
        return Promise.resolve(this.random.chance(this.weather.loseAnswer) ? undefined : outcome);
    }

    private appendNow(records: readonly NewRecord[], expectedEnd: Offset | undefined): AppendOutcome {
        if (expectedEnd !== undefined && expectedEnd !== this.topicOf("ledger").records.length) {
            return { kind: "conflict" };
        }
        return { kind: "appended", offset: this.add("ledger", records) };
    }
}
