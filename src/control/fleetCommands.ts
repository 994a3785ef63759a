/** Commands of hornbeamctl for hosts, targets and key ownership. */
import { ok } from "neverthrow";
import { describeFailure } from "../model/failure.js";
import type { Key, ServiceId, TargetId } from "../model/names.js";
import { maxKey } from "../model/names.js";
import { keyOfName } from "../entry/ownDialect.js";
import { drainKey } from "../ownership/ledgerRecords.js";
import { OwnerMap } from "../ownership/ownerMap.js";
import type { CommandResult } from "./output.js";
import { exitCodes } from "./output.js";
import { done, failed, refused } from "./results.js";
import type { ControlSession, HostDump, HostReport } from "./session.js";

/** Shows the state of every running host. */
export async function status(session: ControlSession): Promise<CommandResult> {
    const reports = await session.reports();
    if (reports.isErr()) {
        return failed(reports.error);
    }
    const notReady = reports.value.filter(({ dump }) => dump.isErr() || dump.value.unready !== undefined);
    return {
        exitCode: notReady.length === 0 ? exitCodes.done : exitCodes.unreachable,
        lines: [
            notReady.length === 0
                ? "Every running host is ready."
                : `Not ready: ${notReady.map(({ hostId }) => hostId).join(", ")}. Inspect a host with: hornbeamctl dump HOST`,
            ...describeEvacuations(reports.value),
        ],
        table: {
            head: ["host", "data centre", "state", "configuration", "ledger", "knowledge ms old", "pending", "coordinates"],
            rows: reports.value.map(({ hostId, dump }) => dump.match(
                (hostDump) => [
                    hostId, hostDump.self.dataCentreId, hostDump.unready ?? "ready", hostDump.configVersion ?? "-",
                    describeLedger(hostDump), hostDump.knowledgeAgeMs, hostDump.pending,
                    hostDump.coordinator === undefined ? "" : `term ${String(hostDump.coordinator.term)}`,
                ],
                (failure) => [hostId, "-", describeFailure(failure), "-", "-", "-", "-", "-"],
            )),
        },
        json: reports.value.map(({ hostId, dump }) => ({ hostId, dump: dump.isOk() ? dump.value : undefined })),
    };
}

/** Names the evacuated data centres, and the hosts that do not know of an evacuation that others know of. */
function describeEvacuations(reports: readonly HostReport[]): string[] {
    const dumps = reports.flatMap(({ hostId, dump }) => dump.isOk() ? [{ hostId, evacuated: dump.value.evacuated ?? [] }] : []);
    return [...new Set(dumps.flatMap(({ evacuated }) => evacuated))].sort().map((dataCentreId) => {
        const unaware = dumps.filter(({ evacuated }) => !evacuated.includes(dataCentreId)).map(({ hostId }) => hostId);
        return `Data centre ${dataCentreId} is evacuated${unaware.length === 0 ? "." : `; not known to: ${unaware.join(", ")}.`}`;
    });
}

/** Returns the offset that a host has reached, with the store's era if it has ever come back from an older copy. */
function describeLedger({ ledgerUpTo, storeEra = 0 }: HostDump): number | string {
    return storeEra === 0 ? ledgerUpTo : `${String(ledgerUpTo)}, era ${String(storeEra)}`;
}

/** Shows the targets that own keys, with their state at the coordinator. */
export async function targets(session: ControlSession): Promise<CommandResult> {
    const reports = await session.reports();
    if (reports.isErr()) {
        return failed(reports.error);
    }
    const dumps = reports.value.flatMap(({ dump }) => dump.isOk() ? [dump.value] : []);
    const dump = dumps.find((one) => one.coordinator !== undefined);
    const coordinator = dump?.coordinator;
    if (coordinator === undefined) {
        return refused("No host is the coordinator at the moment; see: hornbeamctl status");
    }
    const rows = coordinator.owners.targets;
    const evacuatedIds = new Set((dump?.targets ?? [])
        .filter(({ dataCentreId }) => dump?.evacuated?.includes(dataCentreId) === true).map(({ targetId }) => targetId));
    return {
        exitCode: exitCodes.done,
        lines: describeEvacuations(reports.value),
        table: {
            head: ["target", "standing", "ranges", "keys", "free in ms"],
            rows: rows.map(({ targetId, standing, ranges, freeInMs }) => [
                targetId, evacuatedIds.has(targetId) ? `${standing}, evacuated` : standing, ranges.map(({ from, to }) => `${String(from)}-${String(to)}`).join(" "),
                ranges.reduce((sum, { from, to }) => sum + to - from + 1, 0), Math.max(0, freeInMs),
            ]),
        },
        json: rows.map((row) => evacuatedIds.has(row.targetId) ? { ...row, evacuated: true } : row),
    };
}

/**
 * Shows which target owns a key.
 * @param session the session
 * @param service the service
 * @param key the key as a number, or its name in the project's own HTTP interface
 */
export async function owner(session: ControlSession, service: string, key: string): Promise<CommandResult> {
    const readResult = await session.read();
    if (readResult.isErr()) {
        return failed(readResult.error);
    }
    const keyNumber = /^[0-9]+$/.test(key) && Number(key) <= maxKey ? Number(key) as Key : keyOfName(key);
    const targetId = new OwnerMap(session.view.ledger.ownerships()).ownerOf(service as ServiceId, keyNumber);
    return targetId === undefined
        ? refused(`Key ${String(keyNumber)} of ${service} has no owner; see: hornbeamctl targets`)
        : done([`Key ${String(keyNumber)} of ${service} is owned by ${targetId}.`], { service, key: keyNumber, targetId });
}

/**
 * Marks a target as drained, so that it gets no new work, or removes the mark.
 * @param session the session
 * @param target the target's id
 * @param undo removes the mark instead
 */
export async function drain(session: ControlSession, target: string, undo: boolean): Promise<CommandResult> {
    const outcome = await session.append(() => {
        const others = session.view.ledger.drained().filter((targetId) => targetId !== target);
        return ok([{ key: drainKey, record: { kind: "drain" as const, targetIds: undo ? others : [...others, target as TargetId] } }]);
    });
    return outcome.match(
        () => done([undo ? `${target} may get work again.` : `${target} gets no new work; watch it with: hornbeamctl targets`], { target, undo }),
        failed,
    );
}

/**
 * Shows the dump of one host's state.
 * @param session the session
 * @param hostId the host's id
 */
export async function dump(session: ControlSession, hostId: string): Promise<CommandResult> {
    const reports = await session.reports();
    if (reports.isErr()) {
        return failed(reports.error);
    }
    const report = reports.value.find((one) => one.hostId === hostId);
    if (report === undefined) {
        return refused(`Host ${hostId} is not running; running hosts: ${reports.value.map((one) => one.hostId).join(", ")}`);
    }
    return report.dump.match((hostDump) => done([JSON.stringify(hostDump, undefined, 2)], hostDump), failed);
}
