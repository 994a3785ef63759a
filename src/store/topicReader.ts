/** Reads the store's topics into this host's `ClusterView`. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { Offset, TargetId } from "../model/names.js";
import type { RoutingConfig } from "../model/routing.js";
import { eraOf, offsetInEra } from "../model/storePosition.js";
import { isId } from "../model/valueSchemas.js";
import type { LedgerChange } from "../ownership/ledgerDecoder.js";
import { decodeLedgerRecord } from "../ownership/ledgerDecoder.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { ClusterView } from "./clusterView.js";
import type { EvacuationChange } from "./evacuations.js";
import type { RecordDecoders } from "./recordDecoders.js";
import { decodeSafely, describeUnexpected } from "./safeDecoding.js";
import type { ReadOutcome, StorePort, StoreRecord, TopicName } from "./storePort.js";
import type { TargetChange } from "./targetDirectory.js";

/** Dependencies of a reader. */
export interface TopicReaderDependencies {
    store: StorePort;
    decoders: RecordDecoders;
    view: ClusterView;
    clock: Clock;
    log: Log;
}

/** A target whose entry was removed while the store could not be read has this long to register again before it counts as gone. */
const removalGraceMs = 2_300;

/** Changes that a reading brought. */
export interface Reading {
    /** Changes of targets that the router acts on; empty for the other topics. */
    targets: readonly TargetChange[];
    /** Changes of the ledger; empty for the other topics. */
    ledger: readonly LedgerChange[];
}

const emptyReading: Reading = { targets: [], ledger: [] };

/** Reads topics, each from the offset up to which it was last read. */
export interface TopicReader {
    /**
     * Reads the new records of a topic, or a snapshot if it was not read before or the records have expired. Never rejects, since the
     * tasks that follow the topics would end.
     * @param topic the topic
     * @param waitMs time for which the store may hold the call while there are no new records
     */
    read(topic: TopicName, waitMs: number): Promise<Result<Reading, Failure>>;
}

/** Creates the reader. */
export function createTopicReader({ store, decoders, view, clock, log }: TopicReaderDependencies): TopicReader {
    const topicsRead = new Set<TopicName>();
    const snapshotsInProgress = new Map<TopicName, Promise<unknown>>();
    const deferredRemovals = new Map<TargetId, { offset: Offset; dueAtMs: number }>();
    let lastReadFailureAtMs = Number.NEGATIVE_INFINITY;
    const nowMs = () => clock.now().monoMs;

    const readSnapshot = async (topic: TopicName): Promise<Result<Reading, Failure>> => {
        const snapshot = await store.snapshot(topic);
        if (snapshot.isErr()) {
            return err(snapshot.error);
        }
        const { records, upTo } = snapshot.value;
        const before = nextOffsets[topic]();
        const isOlderCopy = topicsRead.has(topic) && eraOf(upTo) > eraOf(before);
        if (isOlderCopy) {
            // Entries may have lapsed, or are not written again yet, as after an outage.
            lastReadFailureAtMs = nowMs();
            view.recordReturn(eraOf(upTo), nowMs());
            log.warn("store came back from an older copy", {
                topic, era: eraOf(upTo), end: offsetInEra(upTo), eraBefore: eraOf(before), endBefore: offsetInEra(before),
            });
        }
        topicsRead.add(topic);
        log.info("snapshot read", { topic, records: records.length, upTo: offsetInEra(upTo) });
        return ok(applySnapshot[topic](records, upTo, isOlderCopy));
    };

    const applySnapshot: Record<TopicName, (records: readonly StoreRecord[], upTo: Offset, isOlderCopy: boolean) => Reading> = {
        configuration: (records, upTo, isOlderCopy) => {
            view.restartConfigReading(upTo);
            const listed = decodeEvacuations(records).filter(({ isInForce }) => isInForce);
            recordEvacuations(isOlderCopy
                ? view.evacuations.mergeOlderCopy(listed, upTo, nowMs())
                : view.evacuations.replace(listed, upTo, nowMs()));
            return applyConfigs(records, upTo);
        },
        targets: (records, upTo) => {
            const changes = decodeTargets(records);
            const presentIds = new Set(changes.filter(({ entry }) => entry !== undefined).map(({ targetId }) => targetId));
            const gone = view.targets.findMissing(presentIds, upTo)
                .map((targetId) => ({ targetId, offset: upTo - 1 as Offset, entry: undefined }));
            return { ...emptyReading, targets: applyTargets([...gone, ...changes], upTo) };
        },
        ledger: (records, upTo) => {
            const changes = decodeLedger(records);
            const decodedKeys = new Set(changes.map(({ key }) => key));
            view.replaceLedger(changes, upTo, records.map(({ key }) => key).filter((key) => !decodedKeys.has(key)));
            return { ...emptyReading, ledger: changes };
        },
    };

    const applyRecords: Record<TopicName, (records: readonly StoreRecord[], upTo: Offset) => Reading> = {
        configuration: (records, upTo) => {
            const reading = applyConfigs(records, upTo);
            recordEvacuations(view.evacuations.apply(decodeEvacuations(records), nowMs()));
            return reading;
        },
        targets: (records, upTo) => ({ ...emptyReading, targets: applyTargets(decodeTargets(records), upTo) }),
        ledger: (records, upTo) => {
            const changes = decodeLedger(records);
            view.applyLedger(changes, records[0]?.offset ?? upTo, upTo);
            return { ...emptyReading, ledger: changes };
        },
    };

    const applyConfigs = (records: readonly StoreRecord[], upTo: Offset): Reading => {
        const newest = decodeConfigs(records).at(-1);
        if (view.applyConfig(newest?.config, newest?.offset ?? upTo, upTo)) {
            log.info("configuration applied", { version: newest?.config.version, offset: newest?.offset });
        }
        return emptyReading;
    };

    const recordEvacuations = (changes: readonly EvacuationChange[]) => {
        for (const { dataCentreId, offset, isInForce } of changes) {
            log.info(isInForce ? "evacuation began" : "evacuation ended", { dataCentre: dataCentreId, offset: offsetInEra(offset) });
        }
        view.applyEvacuations(changes, nowMs());
    };

    const decodeEvacuations = (records: readonly StoreRecord[]): EvacuationChange[] => records.flatMap(({ key, value, offset }) => {
        const decoded = decodeSafely(key, () => decoders.evacuation(key, value));
        if (decoded.isErr()) {
            log.warn("evacuation record cannot be decoded", { key, offset, why: decoded.error.message });
        }
        const dataCentreId = decoded.unwrapOr(undefined);
        return dataCentreId === undefined ? [] : [{ dataCentreId, offset, isInForce: value !== undefined }];
    });

    /** Applies changes of targets. Removals shortly after an outage of the store are deferred, since the outage may have caused them. */
    const applyTargets = (changes: readonly TargetChange[], upTo: Offset): TargetChange[] => {
        const isAfterOutage = nowMs() - lastReadFailureAtMs < removalGraceMs;
        for (const { targetId, offset } of isAfterOutage ? changes.filter(({ entry }) => entry === undefined) : []) {
            deferredRemovals.set(targetId, { offset, dueAtMs: lastReadFailureAtMs + removalGraceMs });
            log.info("target removal deferred", { target: targetId, offset });
        }
        const immediate = isAfterOutage ? changes.filter(({ entry }) => entry !== undefined) : changes;
        const returned = cancelDeferredRemovals(immediate);
        const effective = view.applyTargets([...immediate, ...takeDueRemovals()], upTo, nowMs());
        return [...effective, ...returned.filter((change) => !effective.includes(change))];
    };

    /**
     * Cancels the deferred removals of targets that returned. Nothing has changed for this host, but hosts that started meanwhile do not
     * know these targets, so their entries are passed on.
     * @returns their changes
     */
    const cancelDeferredRemovals = (changes: readonly TargetChange[]): TargetChange[] =>
        changes.filter(({ targetId, offset, entry }) =>
            entry !== undefined && offset > (deferredRemovals.get(targetId)?.offset ?? Number.POSITIVE_INFINITY)
            && deferredRemovals.delete(targetId));

    /** Takes the deferred removals whose targets had time to return and did not. */
    const takeDueRemovals = (): TargetChange[] => {
        const due = [...deferredRemovals].filter(([, { dueAtMs }]) => nowMs() >= Math.max(dueAtMs, lastReadFailureAtMs + removalGraceMs));
        due.forEach(([targetId]) => deferredRemovals.delete(targetId));
        return due.map(([targetId, { offset }]) => ({ targetId, offset, entry: undefined }));
    };

    const decodeConfigs = (records: readonly StoreRecord[]): { config: RoutingConfig; offset: Offset }[] =>
        records.flatMap(({ key, value, offset }) => {
            const decoded = value === undefined ? undefined : decodeSafely(key, () => decoders.configuration(key, value));
            if (decoded?.isErr() === true) {
                log.warn("configuration record cannot be decoded", { key, offset, why: decoded.error.message });
                view.markConfigUnreadable(offset);
            }
            const config = decoded?.unwrapOr(undefined);
            return config === undefined ? [] : [{ config, offset }];
        });

    /** Decodes entries of targets. One that cannot be decoded counts as a removal; a key that is no id names no target to remove. */
    const decodeTargets = (records: readonly StoreRecord[]): TargetChange[] => records.flatMap(({ key, value, offset }) => {
        const decoded = value === undefined ? undefined : decodeSafely(key, () => decoders.target(key, value));
        if (decoded?.isErr() === true) {
            log.warn("target entry cannot be decoded", { target: key, offset, why: decoded.error.message });
        }
        return isId(key) ? [{ targetId: key as TargetId, offset, entry: decoded?.unwrapOr(undefined) }] : [];
    });

    /** Decodes records of the ledger. One that cannot be decoded changes nothing: an earlier one under its key stays in force. */
    const decodeLedger = (records: readonly StoreRecord[]): LedgerChange[] => records.flatMap((record) => {
        const decoded = decodeSafely(record.key, () => decodeLedgerRecord(record));
        if (decoded.isErr()) {
            log.warn("ledger record cannot be decoded", { key: record.key, offset: record.offset, why: decoded.error.message });
            view.ledger.markUnreadable(record.key, record.offset);
        }
        return decoded.isOk() ? [decoded.value] : [];
    });

    const nextOffsets: Record<TopicName, () => Offset> = {
        configuration: () => view.configUpTo,
        targets: () => view.targetsUpTo,
        ledger: () => view.ledger.upTo,
    };

    /** Records until when this host knows all records of a topic. */
    const confirm: Record<TopicName, (atMs: number) => void> = {
        configuration: (atMs) => {
            view.evacuations.confirm(atMs);
        },
        targets: (atMs) => {
            view.targets.confirm(atMs);
        },
        ledger: () => undefined,
    };

    /** Reads every record from an offset to the end of the topic, in as many calls as it takes; `expired` if the store lacks some. */
    const readToEnd = async (topic: TopicName, from: Offset, waitMs: number): Promise<Result<ReadOutcome, Failure>> => {
        const records: StoreRecord[] = [];
        for (let next = from; ;) {
            const outcome = await store.read(topic, next, records.length === 0 ? waitMs : 0);
            if (outcome.isErr() || outcome.value.kind === "expired") {
                return outcome;
            }
            const { page } = outcome.value;
            records.push(...page.records);
            if (page.next >= page.end) {
                return ok({ kind: "page", page: { ...page, records } });
            }
            if (page.next === next) {
                return ok({ kind: "expired" });
            }
            next = page.next;
        }
    };

    const readNew = async (topic: TopicName, waitMs: number): Promise<Result<Reading, Failure>> => {
        const from = nextOffsets[topic]();
        const askedAtMs = nowMs();
        const reading = await readFrom(topic, from, waitMs);
        if (reading.isOk()) {
            // A call that brought nothing new was held for all of its waiting time.
            const isHeld = nextOffsets[topic]() === from && nowMs() - askedAtMs >= waitMs;
            confirm[topic](isHeld ? askedAtMs + waitMs : askedAtMs);
        }
        return reading;
    };

    const readFrom = async (topic: TopicName, from: Offset, waitMs: number): Promise<Result<Reading, Failure>> => {
        const outcome = topicsRead.has(topic)
            ? await readToEnd(topic, from, waitMs)
            : ok({ kind: "expired" as const });
        if (outcome.isErr()) {
            lastReadFailureAtMs = nowMs();
            return err(outcome.error);
        }
        return outcome.value.kind === "expired"
            ? readAfterExpiry(topic, from)
            : ok(applyRecords[topic](outcome.value.page.records, outcome.value.page.next));
    };

    /** Reads a snapshot, unless another call has read one of a later era meanwhile; then reads what has come since. */
    const readAfterExpiry = async (topic: TopicName, from: Offset): Promise<Result<Reading, Failure>> => {
        for (let pending = snapshotsInProgress.get(topic); pending !== undefined; pending = snapshotsInProgress.get(topic)) {
            await pending;
        }
        if (topicsRead.has(topic) && eraOf(nextOffsets[topic]()) > eraOf(from)) {
            return readNew(topic, 0);
        }
        const snapshot = readSnapshot(topic);
        snapshotsInProgress.set(topic, snapshot);
        return snapshot.finally(() => {
            snapshotsInProgress.delete(topic);
        });
    };

    return {
        read: async (topic, waitMs) => {
            try {
                return await readNew(topic, waitMs);
            }
            catch (error) {
                log.error("unexpected error while a topic was read", { topic, why: error instanceof Error ? error.stack : String(error) });
                return err(failure("invalid", "store-read", topic, describeUnexpected(error)));
            }
        },
    };
}
