/**
 * Soak test of real daemons under random faults: hosts are killed, suspended and restarted, servers (the targets) crash, drain
 * and answer wrongly or late, and connections to the store and to the servers are delayed, silenced or reset while clients send requests.
 * Ownership of keys is checked during the run, answers to clients at its end.
 */
import { topics } from "../../platform/names.js";
import { buildRoutingConfig, Fleet, isReady, keyedService, paths, plainService, send, sleep } from "../fleet/fleet.js";
import { SeededRandom } from "../support/seededRandom.js";
import { sendAhead } from "./aheadClient.js";
import { FaultInjection } from "./faultInjection.js";
import { checkAnswers, checkOwners, checkReadyHosts, watchedKeys } from "./soakChecks.js";
import { SoakFleet } from "./soakFleet.js";
import type { SoakReport } from "./soakReport.js";

const hostCount = 4;
const keyedServerCount = 5;
const plainServerCount = 3;
const requestPeriodMs = 20;

/** Number of clients that send requests ahead on connections that they keep. */
const aheadClientCount = 3;
const recoveryTimeoutMs = 25_000;

/** Time after the last request within which the answers to the last ones arrive. */
const lastAnswersMs = 500;

/** Result of a run. */
export interface SoakResult {
    seed: number;
    violations: string[];
    /** Injected faults, each with its time in seconds. */
    steps: string[];
    /** Number of answers by status. */
    answers: Record<string, number>;
    /** Names of the files that hold the hosts' logs. */
    logFiles: string[];
}

/** Sends requests until the run ends. Connections to a host are kept open until its process ends. */
async function sendRequests(
    { fleet, agents }: SoakFleet, seed: number, random: SeededRandom, report: SoakReport, signal: AbortSignal,
): Promise<void> {
    let requestCount = 0;
    while (!signal.aborted) {
        const host = random.pick(fleet.hosts);
        requestCount += 1;
        const id = `s${String(seed)}-${String(requestCount)}`;
        const kind = random.pick(["read", "order", "list"] as const);
        const isOrder = kind === "order";
        void send(host, {
            id, path: `${paths[kind]}x`, agent: agents.get(host),
            ...kind === "list" ? {} : { key: random.pick(watchedKeys) },
            ...isOrder ? { method: "POST", body: "{}" } : {},
        }).then((answer) => {
            report.sent.push({ id, isOrder, answer });
        });
        await sleep(requestPeriodMs);
    }
}

/** Waits until all faults have ended, every host is ready and every watched key has one owner. */
async function waitForRecovery(fleet: Fleet, injection: FaultInjection): Promise<void> {
    await injection.waitForEnd();
    await fleet.waitUntil("every host is ready again", async () =>
        (await Promise.all(fleet.hosts.map(isReady))).every(Boolean), recoveryTimeoutMs);
    await fleet.waitUntil("every key is held by one server again", () =>
        Promise.resolve(watchedKeys.every((key) => fleet.holders(key).length === 1)), recoveryTimeoutMs);
}

/**
 * Runs the soak test once.
 * @param seed seed of the random generator. Equal seeds do not give equal runs: the loops that inject faults and send requests share
 *     the generator, and the order in which they draw from it depends on timing on the machine.
 * @param durationMs time for which faults are injected
 */
export async function runSoak(seed: number, durationMs: number): Promise<SoakResult> {
    const fleet = await Fleet.start(0, 0, 0, false);
    const soakFleet = new SoakFleet(fleet);
    const random = new SeededRandom(seed);
    const report: SoakReport = { startedMs: performance.now(), violations: [], steps: [], sent: [] };
    const injection = new FaultInjection(soakFleet, random, report);
    const end = new AbortController();
    try {
        fleet.store.put(topics.configuration, "config", buildRoutingConfig(1));
        for (let index = 0; index < keyedServerCount + plainServerCount; index++) {
            await soakFleet.addServer(index < keyedServerCount ? keyedService : plainService);
        }
        for (let index = 0; index < hostCount; index++) {
            await soakFleet.addHost(`h${String(index)}`);
        }
        await fleet.waitUntilServing();
        const background = Promise.all([
            sendRequests(soakFleet, seed, random, report, end.signal), checkOwners(fleet, report, end.signal),
            checkReadyHosts(fleet, report, end.signal),
            ...Array.from({ length: aheadClientCount }, (_, index) =>
                sendAhead(soakFleet, `a${String(seed)}.${String(index)}`, random, report, end.signal)),
        ]);
        const faultsEndMs = performance.now() + durationMs;
        while (performance.now() < faultsEndMs) {
            injection.injectAny();
            await sleep(random.integerUpTo(1_200));
        }
        await waitForRecovery(fleet, injection);
        end.abort();
        await sleep(lastAnswersMs);
        await background;
        checkAnswers(report, (id) => soakFleet.countRuns(id));
    }
    catch (error) {
        report.violations.push(String(error));
    }
    finally {
        end.abort();
        soakFleet.stopProxies();
        await fleet.stop();
    }
    const answers: Record<string, number> = {};
    for (const { answer } of report.sent) {
        answers[String(answer.status)] = (answers[String(answer.status)] ?? 0) + 1;
    }
    return { seed, violations: report.violations, steps: report.steps, answers, logFiles: [...soakFleet.logFiles] };
}
