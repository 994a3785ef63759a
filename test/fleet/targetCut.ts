/** Cuts hosts of a fleet off from all targets, and counts how clients' first tries are served meanwhile. */
import type { ClientAnswer, Fleet, FleetHost } from "./fleet.js";
import { fetchAdminPage, paths, send, sleep } from "./fleet.js";

/** What happens to the connections of a host that is cut off: they hang, they are reset, or old ones live on while new ones are refused. */
export type CutKind = "hang" | "reset" | "refuse-new";

/** Time after the beginning of a cut from which the platform's rule counts. */
export const settledMs = 3_000;

const periodMs = 8;
const budgetMs = 2_000;
const keyStride = 257;
const keyCount = 65_536;

/** First tries of clients, and how many of them were served. */
export interface ServedCount {
    tries: number;
    served: number;
    /** Statuses and reasons of the other answers, with their number. */
    failures: Record<string, number>;
}

/** First tries at the hosts that are cut off, and at the others. */
export interface CutOutcome {
    cut: ServedCount;
    others: ServedCount;
}

/** Cuts a host off from targets at some addresses; undefined ends the cut. A host whose process has ended is left alone. */
export function cutFromTargets({ child }: FleetHost, addresses: readonly string[], how: CutKind | undefined): void {
    if (child.connected) {
        child.send({ how, ports: addresses.map((address) => Number(address.split(":")[1])) });
    }
}

/** Finds the host that coordinates. */
export async function findCoordinator(hosts: readonly FleetHost[]): Promise<FleetHost> {
    for (;;) {
        for (const host of hosts) {
            const dump = JSON.parse(await fetchAdminPage(host, "/dump")) as { coordinator?: object };
            if (dump.coordinator !== undefined) {
                return host;
            }
        }
        await sleep(periodMs);
    }
}

/**
 * Sends requests through all hosts in turn.
 * @param durationMs time during which they are sent
 * @param prefix beginning of the requests' ids
 * @returns the answers by host
 */
export async function sendFirstTries(
    hosts: readonly FleetHost[], durationMs: number, prefix: string,
): Promise<Map<FleetHost, ClientAnswer[]>> {
    const answers: Promise<{ host: FleetHost; answer: ClientAnswer }>[] = [];
    const startedMs = performance.now();
    for (let count = 0; performance.now() - startedMs < durationMs; count++) {
        const host = hosts[count % hosts.length] as FleetHost;
        const isKeyed = Math.floor(count / hosts.length) % 4 !== 3;
        answers.push(send(host, {
            id: `${prefix}-${String(count)}`, path: `${isKeyed ? paths.read : paths.list}x`, budgetMs,
            ...isKeyed ? { key: count * keyStride % keyCount } : {},
        }).then((answer) => ({ host, answer })));
        await sleep(startedMs + (count + 1) * periodMs - performance.now());
    }
    const answersByHost = new Map<FleetHost, ClientAnswer[]>(hosts.map((host) => [host, []]));
    for (const { host, answer } of await Promise.all(answers)) {
        answersByHost.get(host)?.push(answer);
    }
    return answersByHost;
}

/** Counts the first tries at some hosts. */
export function countServed(answersByHost: ReadonlyMap<FleetHost, ClientAnswer[]>, hosts: readonly FleetHost[]): ServedCount {
    const answers = hosts.flatMap((host) => answersByHost.get(host) ?? []);
    const failures: Record<string, number> = {};
    for (const { status, body } of answers.filter((answer) => answer.status !== 200)) {
        const name = `${String(status)} ${/"reason":"([a-z-]+)"/.exec(body)?.[1] ?? ""}`;
        failures[name] = (failures[name] ?? 0) + 1;
    }
    return { tries: answers.length, served: answers.filter(({ status }) => status === 200).length, failures };
}

/**
 * Cuts hosts off and counts the first tries from the time on from which the rule counts. The cut is over when this resolves.
 * @param cutHosts hosts to cut off
 * @param lengthMs length of the cut
 */
export async function playCut(
    fleet: Fleet, cutHosts: readonly FleetHost[], how: CutKind, lengthMs: number, prefix: string,
): Promise<CutOutcome> {
    const addresses = fleet.servers.map(({ address }) => address);
    cutHosts.forEach((host) => {
        cutFromTargets(host, addresses, how);
    });
    const load = sendFirstTries(fleet.hosts, settledMs, `${prefix}-early`);
    await sleep(settledMs);
    const answers = await sendFirstTries(fleet.hosts, lengthMs - settledMs, prefix);
    await load;
    cutHosts.forEach((host) => {
        cutFromTargets(host, addresses, undefined);
    });
    const others = fleet.hosts.filter((host) => !cutHosts.includes(host));
    return { cut: countServed(answers, cutHosts), others: countServed(answers, others) };
}
