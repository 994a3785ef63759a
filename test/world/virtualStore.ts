/** Simulates the platform's store in virtual time, with its faults: outages, refused calls, lost answers and late appends. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure } from "../../src/model/failure.js";
import { failure } from "../../src/model/failure.js";
import type { Era, HostId, Offset } from "../../src/model/names.js";
import { Signal, waitFor } from "../../src/model/signal.js";
import { eraOf, offsetInEra, positionOf } from "../../src/model/storePosition.js";
import type { Clock } from "../../src/model/time.js";
import { KnownEra } from "../../src/store/knownEra.js";
import type { AppendOutcome, NewRecord, ReadOutcome, StorePort, StoreRecord, TopicName, TopicSnapshot } from "../../src/store/storePort.js";
import type { SeededRandom } from "../support/seededRandom.js";
import type { VirtualProcess } from "../support/virtualTime.js";

const responseDelayMs = 4;
const callTimeoutMs = 1_200;

interface Topic {
    /** Their offsets are those of the present era; each is the record's index. */
    records: NewRecord[];
    recordAdded: Signal;
}

/** Records of all topics at one moment. */
export type VirtualStoreCopy = ReadonlyMap<TopicName, readonly NewRecord[]>;

/** Probabilities of faults, for each append. */
export interface StoreFaultRates {
    /** The append takes effect, but is not answered. */
    lostAnswer: number;
    /** The append takes effect 1 to 6 s later, if its condition still holds then, and is not answered. */
    lateAppend: number;
}

/** The simulated store. */
export class VirtualStore {
    /** Hosts whose calls are answered with status 503. */
    readonly refusedHosts = new Set<HostId>();
    /** Topics of which readings are answered with status 503. */
    readonly refusedTopics = new Set<TopicName>();
    /** Hosts whose calls are not answered. */
    readonly disconnectedHosts = new Set<HostId>();
    /** While true, no call of a host is answered. */
    isDown = false;
    /** Largest number of records in one page. */
    maxPageRecords = Number.POSITIVE_INFINITY;
    /** Number of calls that hosts sent. */
    callCount = 0;
    faultRates: StoreFaultRates = { lostAnswer: 0, lateAppend: 0 };
    private readonly topics = new Map<TopicName, Topic>();
    /** Number of times that the store came back from an older copy. */
    private era = 0 as Era;

    /**
     * @param clock the clock of the simulation
     * @param random decides which faults occur
     */
    constructor(private readonly clock: Clock, private readonly random: SeededRandom) {}

    /** Writes a record as operators and targets do; faults between hosts and the store do not affect it. */
    put(topic: TopicName, key: string, value: object | undefined): void {
        this.addRecords(topic, [{ key, value: value === undefined ? undefined : Buffer.from(JSON.stringify(value)) }]);
    }

    /** Removes the newest records of a topic, as when the store is restored from an older copy. */
    loseNewest(topic: TopicName, count: number): void {
        const { records } = this.getTopic(topic);
        records.splice(Math.max(0, records.length - count));
        this.era = this.era + 1 as Era;
    }

    /** Copies all topics. */
    takeCopy(): VirtualStoreCopy {
        return new Map([...this.topics].map(([name, { records }]) => [name, [...records]]));
    }

    /** Comes back from an older copy: whatever was written since is lost, and the era rises by one. */
    returnFrom(copy: VirtualStoreCopy): void {
        this.era = this.era + 1 as Era;
        for (const [name, topic] of this.topics) {
            topic.records = [...copy.get(name) ?? []];
            topic.recordAdded.fire();
        }
    }

    /**
     * Creates a host's port to the store.
     * @param hostId the host
     * @param process the host's process; calls return only while it runs
     */
    createStorePort(hostId: HostId, process: VirtualProcess): StorePort {
        const knownEra = new KnownEra();
        const call = async <T>(
            step: "store-read" | "store-append", operation: () => Promise<T | undefined>, topic?: TopicName,
        ): Promise<Result<T, Failure>> => {
            const timeOut = async () => {
                await this.clock.sleep(callTimeoutMs);
                await process.waitUntilRunning();
                return err(failure("lost", step, "store", "no answer in time"));
            };
            this.callCount += 1;
            if (this.isDown || this.disconnectedHosts.has(hostId)) {
                return timeOut();
            }
            await this.clock.sleep(responseDelayMs);
            if (this.refusedHosts.has(hostId) || (topic !== undefined && this.refusedTopics.has(topic))) {
                await process.waitUntilRunning();
                return err(failure("refused", step, "store", "status 503"));
            }
            const result = await operation();
            if (result === undefined || this.disconnectedHosts.has(hostId)) {
                return timeOut();
            }
            const { era } = this;
            await process.waitUntilRunning();
            return knownEra.accept(era) ? ok(result) : err(failure("lost", step, "store", `answer of era ${String(era)}`));
        };
        return {
            snapshot: (topic) => call("store-read", () => Promise.resolve(this.snapshot(topic)), topic),
            read: async (topic, from, waitMs) => knownEra.isOutdated(from)
                ? ok({ kind: "expired" })
                : call("store-read", () => this.read(topic, from, waitMs), topic),
            append: async (records, expectedEnd) => expectedEnd !== undefined && knownEra.isOutdated(expectedEnd)
                ? ok({ kind: "conflict" })
                : call("store-append", () => this.append(records, expectedEnd)),
        };
    }

    private getTopic(name: TopicName): Topic {
        const topic = this.topics.get(name) ?? { records: [], recordAdded: new Signal() };
        this.topics.set(name, topic);
        return topic;
    }

    private addRecords(name: TopicName, records: readonly NewRecord[]): Offset {
        const topic = this.getTopic(name);
        const offset = positionOf(this.era, topic.records.length);
        topic.records.push(...records);
        topic.recordAdded.fire();
        return offset;
    }

    private snapshot(name: TopicName): TopicSnapshot {
        const records = this.recordsFrom(name, 0);
        const newest = new Map(records.map((record) => [record.key, record]));
        return { records: [...newest.values()].filter(({ value }) => value !== undefined), upTo: positionOf(this.era, records.length) };
    }

    private recordsFrom(name: TopicName, from: number): StoreRecord[] {
        return this.getTopic(name).records.slice(from)
            .map((record, index) => ({ ...record, offset: positionOf(this.era, from + index) }));
    }

    private async read(name: TopicName, from: Offset, waitMs: number): Promise<ReadOutcome> {
        const topic = this.getTopic(name);
        const offset = offsetInEra(from);
        if (offset === topic.records.length && waitMs > 0) {
            await waitFor(this.clock, waitMs, [topic.recordAdded]);
        }
        if (offset > topic.records.length || eraOf(from) !== this.era) {
            return { kind: "expired" };
        }
        const records = this.recordsFrom(name, offset).slice(0, this.maxPageRecords);
        const end = positionOf(this.era, topic.records.length);
        return { kind: "page", page: { records, next: from + records.length as Offset, end } };
    }

    private append(records: readonly NewRecord[], expectedEnd: Offset | undefined): Promise<AppendOutcome | undefined> {
        if (this.random.chance(this.faultRates.lateAppend)) {
            void this.clock.sleep(1_000 + this.random.integerUpTo(5_000)).then(() => this.applyAppend(records, expectedEnd));
            return Promise.resolve(undefined);
        }
        const outcome = this.applyAppend(records, expectedEnd);
        return Promise.resolve(this.random.chance(this.faultRates.lostAnswer) ? undefined : outcome);
    }

    private applyAppend(records: readonly NewRecord[], expectedEnd: Offset | undefined): AppendOutcome {
        if (expectedEnd !== undefined && offsetInEra(expectedEnd) !== this.getTopic("ledger").records.length) {
            return { kind: "conflict" };
        }
        const offset = this.addRecords("ledger", records);
        // An append that was sent in an earlier era takes effect if its condition happens to hold; its sender does not rely on it.
        return expectedEnd !== undefined && eraOf(expectedEnd) !== this.era ? { kind: "conflict" } : { kind: "appended", offset };
    }
}
