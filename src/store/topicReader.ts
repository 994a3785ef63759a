/** Reads the store's topics into the view of this host. */
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Failure } from "../model/failure.js";
import type { Offset, TargetId } from "../model/names.js";
import type { RoutingConfig } from "../model/routing.js";
import type { LedgerChange } from "../ownership/ledger.js";
import { decodeLedgerRecord } from "../ownership/ledger.js";
import type { Clock } from "../model/time.js";
import type { Log } from "../observe/log.js";
import type { ClusterView } from "./clusterView.js";
import type { RecordDecoders } from "./recordDecoders.js";
import type { StorePort, StoreRecord, TopicName } from "./storePort.js";
import type { TargetChange } from "./targetDirectory.js";

/** What a reader works with. */
export interface TopicReaderParts {
    store: StorePort;
    decoders: RecordDecoders;
    view: ClusterView;
    clock: Clock;
    log: Log;
}

/** Targets whose entry lapsed while the store could not be read have this long to come back. */
const lapsedGraceMs = 2_300;

/** What a reading brought. */
export interface Reading {
    /** Changes of targets that matter; empty for the other topics. */
    targets: readonly TargetChange[];
    /** Changes of the ledger; empty for the other topics. */
    ledger: readonly LedgerChange[];
}

const nothingRead: Reading = { targets: [], ledger: [] };

/** Reads topics, each from where it was last read. */
export interface TopicReader {
    /**
     * Reads what is new in a topic, everything when it was not read before or its records have expired.
     * @param topic the topic
     * @param waitMs how long the store may hold the call when nothing is new
     */
    read(topic: TopicName, waitMs: number): Promise<Result<Reading, Failure>>;
}

/**
 * Creates the reader.
 * @param parts what it works with
 */
export function createTopicReader({ store, decoders, view, clock, log }: TopicReaderParts): TopicReader {
    const started = new Set<TopicName>();
    const lapsed = new Map<TargetId, { offset: Offset; dueMs: number }>();
    let troubleMs = Number.NEGATIVE_INFINITY;
    const nowMs = () => clock.now().monoMs;

    const readAll = async (topic: TopicName): Promise<Result<Reading, Failure>> => {
        const snapshot = await store.snapshot(topic);
        if (snapshot.isErr()) {
            return err(snapshot.error);
        }
        const { records, upTo } = snapshot.value;
        started.add(topic);
        log.info("snapshot read", { topic, records: records.length, upTo });
        return ok(takeAll[topic](records, upTo));
    };

    const takeAll: Record<TopicName, (records: readonly StoreRecord[], upTo: Offset) => Reading> = {
        configuration: (records, upTo) => takeNew.configuration(records, upTo),
        targets: (records, upTo) => {
            const changes = decodeTargets(records);
            const kept = new Set(changes.filter(({ entry }) => entry !== undefined).map(({ targetId }) => targetId));
            const gone = view.targets.missingFrom(kept, upTo).map((targetId) => ({ targetId, offset: upTo, entry: undefined }));
            return { ...nothingRead, targets: applyTargets([...gone, ...changes], upTo) };
        },
        ledger: (records, upTo) => {
            const changes = decodeLedger(records);
            view.replaceLedger(changes, upTo);
            return { ...nothingRead, ledger: changes };
        },
    };

    const takeNew: Record<TopicName, (records: readonly StoreRecord[], upTo: Offset) => Reading> = {
        configuration: (records, upTo) => {
            const newest = decodeConfigs(records).at(-1);
            if (view.applyConfig(newest?.config, newest?.offset ?? upTo, upTo)) {
                log.info("configuration in force", { version: newest?.config.version, offset: newest?.offset });
            }
            return nothingRead;
        },
        targets: (records, upTo) => ({ ...nothingRead, targets: applyTargets(decodeTargets(records), upTo) }),
        ledger: (records, upTo) => {
            const changes = decodeLedger(records);
            view.applyLedger(changes, records[0]?.offset ?? upTo, upTo);
            return { ...nothingRead, ledger: changes };
        },
    };

    /** A removal that may be due to the store's own trouble waits until the target has had time to come back. */
    const applyTargets = (changes: readonly TargetChange[], upTo: Offset): TargetChange[] => {
        const suspicious = nowMs() - troubleMs < lapsedGraceMs;
        for (const { targetId, offset } of suspicious ? changes.filter(({ entry }) => entry === undefined) : []) {
            lapsed.set(targetId, { offset, dueMs: troubleMs + lapsedGraceMs });
            log.info("removal put off", { target: targetId, offset });
        }
        const certain = suspicious ? changes.filter(({ entry }) => entry !== undefined) : changes;
        const returned = takeReturned(certain);
        const effective = view.applyTargets([...certain, ...takeDue()], upTo, nowMs());
        return [...effective, ...returned.filter((change) => !effective.includes(change))];
    };

    /** Targets that came back in time: nothing changed here, but hosts that started meanwhile have not heard of them. */
    const takeReturned = (changes: readonly TargetChange[]): TargetChange[] =>
        changes.filter(({ targetId, offset, entry }) =>
            entry !== undefined && offset > (lapsed.get(targetId)?.offset ?? Number.POSITIVE_INFINITY) && lapsed.delete(targetId));

    const takeDue = (): TargetChange[] => {
        const due = [...lapsed].filter(([, { dueMs }]) => nowMs() >= Math.max(dueMs, troubleMs + lapsedGraceMs));
        due.forEach(([targetId]) => lapsed.delete(targetId));
        return due.map(([targetId, { offset }]) => ({ targetId, offset, entry: undefined }));
    };

    const decodeConfigs = (records: readonly StoreRecord[]): { config: RoutingConfig; offset: Offset }[] =>
        records.flatMap(({ key, value, offset }) => {
            const decoded = value === undefined ? undefined : decoders.configuration(key, value);
            if (decoded?.isErr() === true) {
                log.warn("configuration not readable", { key, offset, why: decoded.error.message });
            }
            const config = decoded?.unwrapOr(undefined);
            return config === undefined ? [] : [{ config, offset }];
        });

    /** An entry that cannot be read names no target. */
    const decodeTargets = (records: readonly StoreRecord[]): TargetChange[] => records.map(({ key, value, offset }) => {
        const decoded = value === undefined ? undefined : decoders.target(key, value);
        if (decoded?.isErr() === true) {
            log.warn("target entry not readable", { target: key, offset, why: decoded.error.message });
        }
        return { targetId: key as TargetChange["targetId"], offset, entry: decoded?.unwrapOr(undefined) };
    });

    const decodeLedger = (records: readonly StoreRecord[]): LedgerChange[] => records.flatMap((record) => {
        const decoded = decodeLedgerRecord(record);
        if (decoded.isErr()) {
            log.warn("ledger record not readable", { key: record.key, offset: record.offset, why: decoded.error.message });
        }
        return decoded.isOk() ? [decoded.value] : [];
    });

    const readFrom: Record<TopicName, () => Offset> = {
        configuration: () => view.configUpTo,
        targets: () => view.targetsUpTo,
        ledger: () => view.ledger.upTo,
    };

    return {
        read: async (topic, waitMs) => {
            const outcome = started.has(topic) ? await store.read(topic, readFrom[topic](), waitMs) : ok({ kind: "expired" as const });
            if (outcome.isErr()) {
                troubleMs = nowMs();
                return err(outcome.error);
            }
            return outcome.value.kind === "expired"
                ? readAll(topic)
                : ok(takeNew[topic](outcome.value.page.records, outcome.value.page.next));
        },
    };
}
