/** Commands of hornbeamctl that look at the live hosts. */
import { hostOfRun } from "../model/ids.js";
import { describeFailure } from "../model/failure.js";
import { cellOfShard, findPool } from "../config/document.js";
import { parseKeyName, shardOfKey } from "../config/edits.js";
import type { CommandResult } from "./output.js";
import { exitCodes } from "./output.js";
import { badInput, done, refused, unreachable, withConfig, withReports } from "./results.js";
import type { ControlSession, HostReport } from "./session.js";

/** Shows every live host. */
export async function status(session: ControlSession): Promise<CommandResult> {
    return withReports(session, (reports) => {
        const notWell = reports.filter(({ dump }) => dump.isErr() || dump.value.unready !== undefined || !dump.value.logWell);
        return {
            exitCode: notWell.length === 0 ? exitCodes.done : exitCodes.unreachable,
            lines: notWell.length === 0
                ? ["Every live host is well."]
                : [`Not well: ${notWell.map(({ host }) => host.hostId).join(", ")}. Look closer with: hornbeamctl dump HOST`],
            table: {
                head: ["host", "data centre", "state", "configuration", "offset", "log", "cells"],
                rows: reports.map(({ host, dump }) => dump.match(
                    (of) => [
                        host.hostId, host.dataCentre, of.unready ?? "ready", of.configOffset ?? "-", of.offset,
                        of.logWell ? "well" : "not read", of.cells.filter((cell) => cell.acting).length,
                    ],
                    (failed) => [host.hostId, host.dataCentre, describeFailure(failed), "-", "-", "-", "-"],
                )),
            },
            json: reports.map(({ host, dump }) => ({ host, dump: dump.isOk() ? dump.value : undefined })),
        };
    });
}

/** Shows every cell with its coordinator. */
export async function cells(session: ControlSession): Promise<CommandResult> {
    return withReports(session, (reports) => {
        const rows = actingCells(reports).map(({ host, cell }) => {
            const shards = cell.grants?.shards ?? [];
            const unserved = shards.filter((shard) => !shard.serving).length;
            return [cell.cell, host, cell.grants?.fence ?? 0, shards.length, unserved, cell.work?.active ?? 0, cell.work?.orders ?? 0];
        });
        return {
            exitCode: exitCodes.done,
            lines: rows.length === 0 ? ["No cell is coordinated; see: hornbeamctl status"] : [],
            table: { head: ["cell", "coordinator", "fence", "shards", "not served", "in flight", "order ids"], rows },
            json: actingCells(reports),
        };
    });
}

/**
 * Shows which server owns a key.
 * @param session the session
 * @param keyName the key, as `institution/pool/key`
 */
export function owners(session: ControlSession, keyName: string): Promise<CommandResult> {
    return withConfig(session, async (config) => {
        const name = parseKeyName(keyName);
        const shard = name.andThen((parsed) => shardOfKey(config.document, parsed));
        if (name.isErr() || shard.isErr()) {
            return badInput(name.isErr() ? name.error : shard._unsafeUnwrapErr());
        }
        const { institution, pool } = name.value;
        const poolConfig = findPool(config.document, institution, pool);
        const cell = poolConfig === undefined ? "" : cellOfShard(institution, pool, poolConfig, shard.value);
        return withReports(session, (reports) => {
            const acting = actingCells(reports).find((one) => one.cell.cell === cell);
            const tenure = acting?.cell.grants?.shards.find((one) => one.shard === shard.value);
            const found = { cell, shard: shard.value, coordinator: acting?.host, ...tenure };
            return tenure === undefined
                ? { ...refused(`Shard ${String(shard.value)} of ${cell} has no coordinator now; see: hornbeamctl cells`), json: found }
                : done([
                    `${keyName}: shard ${String(shard.value)} of ${cell}, owner ${tenure.owner ?? "none"},`
                    + ` ${tenure.serving ? "served" : "not served"}, coordinator ${acting?.host ?? ""}.`,
                ], found);
        });
    });
}

/**
 * Shows the whole state of one host's coordinator.
 * @param session the session
 * @param hostName the host
 */
export async function dump(session: ControlSession, hostName: string): Promise<CommandResult> {
    return withReports(session, (reports) => {
        const report = reports.find(({ host }) => host.hostId === hostName);
        if (report === undefined) {
            return refused(`The host list names no live host ${hostName}; it names: ${reports.map(({ host }) => host.hostId).join(", ")}`);
        }
        return report.dump.match((of) => done([JSON.stringify(of, undefined, 2)], of), unreachable);
    });
}

function actingCells(reports: readonly HostReport[]) {
    return reports.flatMap(({ dump: of }) => of.isErr()
        ? []
        : of.value.cells.filter((cell) => cell.acting).map((cell) => ({ host: hostOfRun(of.value.run as never), cell })));
}
