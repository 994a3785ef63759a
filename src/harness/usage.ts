/** Processor time and loopback bytes, as the kernel counts them. */
import { readFileSync } from "node:fs";

const ticksPerSecond = 100;
const userTicksField = 11;
const systemTicksField = 12;

/**
 * Reads the processor time of a process.
 * @param pid its id
 * @returns milliseconds of one core since it started
 */
export function cpuMsOf(pid: number): number {
    const stat = readFileSync(`/proc/${String(pid)}/stat`, "utf8");
    // The name of the program stands in brackets and may hold spaces.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[userTicksField]) + Number(fields[systemTicksField]);
    return ticks * 1_000 / ticksPerSecond;
}

/**
 * Reads the resident memory of a process.
 * @param pid its id
 * @returns bytes
 */
export function residentBytesOf(pid: number): number {
    const line = readFileSync(`/proc/${String(pid)}/status`, "utf8").split("\n").find((one) => one.startsWith("VmRSS:"));
    return Number(line?.replace(/\D/g, "") ?? 0) * 1_024;
}

/**
 * Reads what has gone over the loopback device.
 * @returns bytes since the machine started, headers included
 */
export function loopbackBytes(): number {
    const line = readFileSync("/proc/net/dev", "utf8").split("\n").find((one) => one.trim().startsWith("lo:"));
    return Number(line?.split(":")[1]?.trim().split(/\s+/)[0] ?? 0);
}
