/** Explains the outcome of a request from the hosts' logs. */
import type { CommandResult } from "./output.js";
import { exitCodes } from "./output.js";
import { refused } from "./results.js";

/** Related log lines within this time before or after the line with the request's outcome are shown too. */
const aroundMs = 4_000;

/** A log line with the fields that this command reads. */
interface LogLine {
    time: string;
    hostname: string;
    msg: string;
    request?: string;
    targets?: string[];
    target?: string;
    reason?: string;
    /** Fingerprint for which the request is quarantined. */
    fingerprint?: string;
    key?: number;
    /** IP address and port of the client; on lines about input that the listener denied, which has no request. */
    clientAddress?: string;
    /** Bytes of such input. */
    excerpt?: string;
    [field: string]: unknown;
}

/** Fields that are not shown because all lines have them, or because they are shown separately. */
const commonFields: ReadonlySet<string> = new Set(["name", "hostname", "pid", "level", "msg", "time", "v", "request"]);

/** Explanations of the refusal reasons for operators. */
const meaningByReason: Record<string, string> = {
    "no-route": "The configuration in force has no route for the host name and path.",
    "no-key": "The service is sharded by key and the request had no key.",
    "body-too-large": "The body is longer than the configuration allows.",
    "body-late": "The client did not send the whole body.",
    "not-ready": "The host had no configuration yet.",
    "config-unconfirmed": "The configuration that this host knows does not allow the request, and neither the store nor the coordinator had "
        + "confirmed that configuration for some time.",
    "no-target": "No target of the service could take work.",
    "owner-unknown": "The key was being moved or had no owner, for longer than the request could wait.",
    "target-paused": "The target, or every target of the service, had asked this host to back off.",
    "owner-silent": "The key's owner did not answer, and its lease had to end before another target could own the key.",
    "overloaded": "All slots were taken, and the request could not have been answered in time.",
    "capacity-reserved": "Room reserved for more urgent requests: some slots were kept free for them, and the request could not have been "
        + "answered in time by the others.",
    "rate-limited": "The rate limits that the key's owner, or every target of the service, stated left no room before the deadline.",
    "rejected": "The target refused the request without running it, and no other attempt was possible.",
    "unreachable": "No connection to the target could be opened.",
    "stopping": "The host was stopping.",
    "quarantined": "Requests with the same content crashed the targets that ran them; they are refused for some time.",
    "timed-out": "The request was sent and not answered in time; it may have run.",
    "malformed": "The client's bytes were no valid request; parserCode and excerpt say where the parser stopped.",
    "header-too-large": "The header section was longer than the limit with which the connection was opened.",
    "limits-unknown": "The header section was long, and the host had no configuration yet that says whether it is too long.",
    "limit-raised": "The connection was opened under a lower limit on the header section than the one in force; a new connection has that.",
    "header-late": "The client did not send the whole header section in time.",
    "incomplete": "The client ended its side of the connection in the middle of a request.",
    "no-host-header": "The request had no Host header.",
    "excess-framing": "The message had far more empty lines, zeros, chunk extensions or trailers than content.",
    "misframed": "The host and its parser disagreed on where the request ends.",
    "host-full": "The host held as much for its clients as it may; other hosts may have room.",
    "host-late": "The host was so late with its work that the request would have waited for too long to begin; other hosts may be quicker.",
    "unknown-expectation": "The request had an Expect header other than 100-continue.",
    "lost": "The connection to the target ended before the answer was complete; the request may have run.",
};

/** Reasons that can be due to the evacuation of a data centre, whose targets get no new requests. */
const reasonsByEvacuation: ReadonlySet<string> = new Set([
    "no-target", "owner-unknown", "owner-silent", "overloaded", "capacity-reserved", "rate-limited", "target-paused",
]);

/** Reasons that blame the request by the configuration in force; its latest changes are related. */
const reasonsByConfiguration: ReadonlySet<string> = new Set([
    "no-route", "no-key", "body-too-large", "header-too-large", "config-unconfirmed",
]);

/**
 * Shows the log lines of a request, the related lines around it, and the cause of its outcome.
 * @param requestId the request's id, or the client's address with its port, for input that was denied before an id was known
 * @param texts contents of the hosts' log files
 */
export function explain(requestId: string, texts: readonly string[]): CommandResult {
    const lines = texts.flatMap(parseLines).sort((left, right) => left.time < right.time ? -1 : 1);
    const requestLines = lines.filter((line) => isAbout(line, requestId));
    const lastLine = requestLines.at(-1);
    if (lastLine === undefined) {
        return refused(`No log line has request ${requestId}; check that the files are from the host that received it and cover that time. `
            + "A request that the listener denied has no id in the logs: look it up by the client's address and port.");
    }
    const involvedTargets = new Set(requestLines.flatMap(({ targets, target }) =>
        [...targets ?? [], ...target === undefined ? [] : [target]]));
    const causeLine = requestLines.findLast((line) => line.reason !== undefined) ?? lastLine;
    const { reason } = causeLine;
    const evacuated = reasonsByEvacuation.has(reason ?? "") ? evacuatedAt(lines, causeLine.time) : [];
    const around = lines.filter((line) => isRelated(line, causeLine, involvedTargets, causeLine.key));
    return {
        exitCode: exitCodes.done,
        lines: [
            ...requestLines.map(render),
            ...around.length === 0 ? [] : ["Related log lines:", ...around.map(render)],
            ...reason === undefined ? [] : [`Cause: ${reason}. ${meaningByReason[reason] ?? ""}`],
            ...evacuated.map((dataCentre) => `Data centre ${dataCentre} was evacuated then, so its targets got no new requests.`),
        ],
        json: { request: requestLines, around, reason, ...evacuated.length === 0 ? {} : { evacuated } },
    };
}

/** Lists the data centres that were evacuated at a time, by the log lines of the hosts that read the operators' records. */
function evacuatedAt(lines: readonly LogLine[], time: string): string[] {
    const evacuated = new Set<string>();
    for (const { msg, dataCentre } of lines.filter((line) => line.time <= time)) {
        if (msg === "store: evacuation began") {
            evacuated.add(String(dataCentre));
        }
        else if (msg === "store: evacuation ended") {
            evacuated.delete(String(dataCentre));
        }
    }
    return [...evacuated].sort();
}

function isAbout({ request, clientAddress, excerpt }: LogLine, requestId: string): boolean {
    return request === requestId || clientAddress === requestId || (request === undefined && excerpt?.includes(requestId) === true);
}

/**
 * Returns whether a line without a request tells of the request's quarantine or, within `aroundMs`, of one of its targets, a move of its
 * key or, where that matters, a change of the configuration.
 */
function isRelated(line: LogLine, causeLine: LogLine, involvedTargets: ReadonlySet<string>, key: number | undefined): boolean {
    if (causeLine.fingerprint !== undefined && line.fingerprint === causeLine.fingerprint && line.request === undefined) {
        return Date.parse(line.time) <= Date.parse(causeLine.time);
    }
    const isNear = Math.abs(Date.parse(line.time) - Date.parse(causeLine.time)) <= aroundMs;
    if (!isNear || line.request !== undefined) {
        return false;
    }
    if (line.msg === "store: configuration applied") {
        return reasonsByConfiguration.has(causeLine.reason ?? "");
    }
    const text = JSON.stringify(line);
    return [...involvedTargets].some((target) => text.includes(target)) || namesMoveOfKey(line, key);
}

function namesMoveOfKey(line: LogLine, key: number | undefined): boolean {
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
            // The line was written by another program or is truncated.
            return [];
        }
    });
}

function render(line: LogLine): string {
    const fields = Object.entries(line).filter(([name, value]) => !commonFields.has(name) && value !== undefined)
        .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
    return `${line.time} ${line.hostname} ${line.msg} ${fields.join(" ")}`;
}
