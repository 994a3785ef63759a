/** Finds the way from a request's id to the cause of its end in the hosts' logs. */
import type { CommandResult } from "./output.js";
import { exitCodes } from "./output.js";
import { refused } from "./results.js";

/** Log lines about targets and the cluster that lie this close to the request are shown with it. */
const aroundMs = 4_000;

/** A log line as far as it matters here. */
interface LogLine {
    time: string;
    hostname: string;
    msg: string;
    request?: string;
    targets?: string[];
    target?: string;
    reason?: string;
    key?: number;
    [field: string]: unknown;
}

/** Fields that every line has, and that are not shown. */
const commonFields: ReadonlySet<string> = new Set(["name", "hostname", "pid", "level", "msg", "time", "v", "request"]);

/** What each reason means, for someone who did not build the system. */
const meaningByReason: Record<string, string> = {
    "no-route": "The configuration in force has no route for the host name and path.",
    "no-key": "The service is divided by key and the request had none.",
    "body-too-large": "The body is longer than the configuration allows.",
    "body-late": "The client did not send the whole body.",
    "not-ready": "The host had no configuration yet.",
    "no-target": "No target of the service could take work.",
    "owner-unknown": "The key was on the move or had no owner, for longer than the request could wait.",
    "target-paused": "The target, or every target of the service, had asked this host to send nothing for a while.",
    "owner-silent": "The key's owner did not answer, and its lease had to end before another could have the key.",
    "overloaded": "All slots were taken, and the request could not have been answered in time.",
    "rejected": "The target turned the request away without running it, and no other attempt was possible.",
    "unreachable": "No connection to the target could be opened.",
    "stopping": "The host was stopping.",
    "timed-out": "The request was sent and not answered in time; it may have run.",
    "lost": "The connection to the target ended before the answer was whole; the request may have run.",
};

/**
 * Explains what happened to a request.
 * @param requestId its id
 * @param texts contents of the hosts' log files
 */
export function explain(requestId: string, texts: readonly string[]): CommandResult {
    const lines = texts.flatMap(parseLines).sort((left, right) => left.time < right.time ? -1 : 1);
    const own = lines.filter(({ request }) => request === requestId);
    const last = own.at(-1);
    if (last === undefined) {
        return refused(`No line names request ${requestId}; are these the logs of the host that took it, and of that time?`);
    }
    const involved = new Set(own.flatMap(({ targets, target }) => [...targets ?? [], ...target === undefined ? [] : [target]]));
    const around = lines.filter((line) => isAround(line, last, involved, last.key));
    return {
        exitCode: exitCodes.done,
        lines: [
            ...own.map(render),
            ...around.length === 0 ? [] : ["Around it:", ...around.map(render)],
            ...last.reason === undefined ? [] : [`Cause: ${last.reason}. ${meaningByReason[last.reason] ?? ""}`],
        ],
        json: { request: own, around, reason: last.reason },
    };
}

/** Lines of other parts that name one of the request's targets, or a move of its key, at about the same time. */
function isAround(line: LogLine, last: LogLine, involved: ReadonlySet<string>, key: number | undefined): boolean {
    const near = Math.abs(Date.parse(line.time) - Date.parse(last.time)) <= aroundMs;
    if (!near || line.request !== undefined) {
        return false;
    }
    const text = JSON.stringify(line);
    return [...involved].some((target) => text.includes(target)) || movesKey(line, key);
}

function movesKey(line: LogLine, key: number | undefined): boolean {
    const ranges = JSON.stringify(line).matchAll(/"keys":"([0-9]+)-([0-9]+)"/g);
    return key !== undefined && [...ranges].some(([, from, to]) => key >= Number(from) && key <= Number(to));
}

function parseLines(text: string): LogLine[] {
    return text.split("\n").flatMap((line) => {
        const start = line.indexOf("{");
        try {
            const parsed = start < 0 ? undefined : JSON.parse(line.slice(start)) as LogLine;
            return parsed?.msg === undefined ? [] : [parsed];
        }
        catch {
            // A line that another program wrote, or one that was cut.
            return [];
        }
    });
}

function render(line: LogLine): string {
    const fields = Object.entries(line).filter(([name, value]) => !commonFields.has(name) && value !== undefined)
        .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
    return `${line.time} ${line.hostname} ${line.msg} ${fields.join(" ")}`;
}
