/** Clients of a soak run that send requests ahead on connections that they keep, and the check of what they get. */
import type { FleetHost } from "../fleet/fleet.js";
import { paths, sleep } from "../fleet/fleet.js";
import { RawClient } from "../entry/listenerClient.js";
import type { SeededRandom } from "../support/seededRandom.js";
import type { SoakFleet } from "./soakFleet.js";
import type { SoakReport } from "./soakReport.js";

const maxAhead = 4;
const budgetMs = 4_000;
const pauseMs = 60;

/** Time within which a request that was passed on reaches its server. */
const passingMs = 300;

/**
 * Keeps one connection to some host, and sends several requests at once on it, until the run ends. Requests behind an answer that closes
 * the connection count as not read, and their client may send them again: it is a violation if they run.
 */
export async function sendAhead(
    soakFleet: SoakFleet, idPrefix: string, random: SeededRandom, report: SoakReport, signal: AbortSignal,
): Promise<void> {
    const unreadIds: string[] = [];
    let sentCount = 0;
    while (!signal.aborted) {
        const host = random.pick(soakFleet.fleet.hosts);
        const client = await connect(host);
        while (client !== undefined && !client.closed && !signal.aborted) {
            const ids = Array.from({ length: 1 + random.integerUpTo(maxAhead) }, () => `${idPrefix}-${String(sentCount++)}`);
            await client.write(Buffer.from(ids.map(requestOf).join("")));
            const left = await readAnswers(client, ids, report);
            if (left === "unanswered") {
                break;
            }
            unreadIds.push(...left);
            await sleep(random.integerUpTo(pauseMs));
        }
        client?.socket.destroy();
        await sleep(pauseMs);
    }
    await sleep(passingMs);
    for (const id of unreadIds.filter((unreadId) => soakFleet.countRuns(unreadId) > 0)) {
        report.violations.push(`${id} ran, although it was sent behind an answer that closes the connection`);
    }
}

async function connect({ clientPort }: FleetHost): Promise<RawClient | undefined> {
    try {
        return await RawClient.connect(clientPort);
    }
    catch {
        return undefined;
    }
}

function requestOf(id: string): string {
    return `GET ${paths.list}x HTTP/1.1\r\nHost: fleet.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: ${String(budgetMs)}\r\n\r\n`;
}

/** Reads the answers in order; returns the requests behind one that closes the connection, or `unanswered` if it ended without one. */
async function readAnswers(client: RawClient, ids: readonly string[], report: SoakReport): Promise<string[] | "unanswered"> {
    for (const [index, id] of ids.entries()) {
        const { status, headers, body } = await client.readAnswer("GET", budgetMs);
        if (status <= 0) {
            return "unanswered";
        }
        if (headers["request-id"] !== undefined && headers["request-id"] !== id) {
            report.violations.push(`${id} got the answer to ${headers["request-id"]}`);
        }
        report.sent.push({ id, isOrder: false, answer: { status, headers, body, tookMs: 0 } });
        if (headers["connection"] === "close") {
            return ids.slice(index + 1);
        }
    }
    return [];
}
