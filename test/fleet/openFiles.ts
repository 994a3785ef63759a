/** Limits the descriptors of a running daemon. */
import { execFileSync } from "node:child_process";
import { readdirSync } from "node:fs";
import type { FleetHost } from "./fleet.js";

/** Sets the limit on the number of the daemon's next descriptor. */
export function limitOpenFiles({ child }: FleetHost, count: number): void {
    execFileSync("prlimit", ["--pid", String(child.pid), `--nofile=${String(count)}:`]);
}

/** Returns the number that the next descriptor of the host would get, which is the least that is free. */
export function nextDescriptor({ child }: FleetHost): number {
    const used = new Set(readdirSync(`/proc/${String(child.pid)}/fd`).map(Number));
    let next = 0;
    while (used.has(next)) {
        next += 1;
    }
    return next;
}
