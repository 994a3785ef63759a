import http from "node:http";
import { expect } from "chai";
import { topics } from "../../platform/names.js";
import { explain } from "../../src/control/explain.js";
import { render } from "../../src/control/output.js";
import { allowedLateDeliveries } from "./crashRule.js";
import { CrashingServers, crashMarker } from "./crashingFleet.js";
import type { ClientAnswer } from "./fleet.js";
import { buildRoutingConfig, fetchAdminPage, Fleet, keyedService, paths, plainService, send, sleep } from "./fleet.js";

const hostCount = 6;
const keyedServerCount = 8;
const plainServerCount = 8;

/** Period at which each crashing request comes again, at a random host. */
const crashPeriodMs = 150;
const innocentPeriodMs = 40;

/** The first quarantine lasts 15 s, so at least one mostly ends meanwhile; else the play goes on until one has. */
const playMs = 30_000;
const maxPlayMs = 60_000;

/** Time after which a line that a host has logged is in its file. */
const logDelayMs = 300;

/** What is known to crash targets must be refused at once. */
const promptMs = 300;

/** Share of the other requests that is served. Each crash ends some, and leaves a range of keys without an owner for seconds. */
const minServedShare = 0.85;

/** A client's further attempts after a failed one. */
const clientRetries = 2;
const clientRetryDelayMs = 50;

interface CrashingRequest {
    kind: string;
    path: string;
    method: string;
    key: number | undefined;
    body: string | undefined;
}

const crashingRequests: CrashingRequest[] = [
    { kind: "an idempotent request with a key", path: `${paths.read}${crashMarker}`, method: "GET", key: 1_000, body: undefined },
    { kind: "a request that is not idempotent", path: `${paths.order}${crashMarker}`, method: "POST", key: 50_000, body: "an order" },
    { kind: "a request without a key", path: `${paths.list}${crashMarker}`, method: "GET", key: undefined, body: undefined },
];

describe("a request that crashes its targets is sent to target after target", function () {
    this.timeout(90_000);
    let fleet: Fleet;
    let servers: CrashingServers;
    let requestCount = 0;
    const agent = new http.Agent({ keepAlive: true });

    before(async () => {
        fleet = await Fleet.start(0, 0, 0, false);
        fleet.store.put(topics.configuration, "config", buildRoutingConfig(1));
        servers = new CrashingServers(fleet);
        for (let index = 0; index < keyedServerCount; index++) {
            await servers.add(`k${String(index)}`, keyedService, true);
        }
        for (let index = 0; index < plainServerCount; index++) {
            await servers.add(`p${String(index)}`, plainService, false);
        }
        for (let index = 0; index < hostCount; index++) {
            await fleet.startHost(`h${String(index)}`);
        }
        await fleet.waitUntilServing();
    });

    after(async () => {
        servers.stop();
        agent.destroy();
        await fleet.stop();
    });

    const sendOnce = (request: Omit<CrashingRequest, "kind">): Promise<ClientAnswer> => {
        requestCount += 1;
        const host = fleet.hosts[Math.floor(Math.random() * fleet.hosts.length)]!;
        return send(host, { ...request, id: `crash-${String(requestCount)}`, budgetMs: 2_000, agent });
    };

    /** Sends a request like a client that comes again after a failure. */
    const sendWithRetries = async (request: CrashingRequest): Promise<void> => {
        for (let attempt = 0; attempt <= clientRetries; attempt++) {
            const { status } = await sendOnce(request);
            if (status === 200 || (status === 502 && request.method === "POST")) {
                return;
            }
            await sleep(clientRetryDelayMs);
        }
    };

    /** Number of times that a coordinator has let a quarantined request run once, after the end of its quarantine. */
    const countTrials = () => fleet.logs().join("\n").split("\"outcome\":\"granted\"").length - 1;

    it("of every kind, three of them at once, at six hosts", async () => {
        const answers: Promise<ClientAnswer>[] = [];
        const timers = [
            ...crashingRequests.map((request) => setInterval(() => void sendWithRetries(request), crashPeriodMs)),
            setInterval(() => {
                const isList = answers.length % 3 === 0;
                const key = isList ? undefined : (answers.length * 7_919) % 65_536;
                answers.push(sendOnce({ path: `${isList ? paths.list : paths.read}${String(answers.length % 50)}`, method: "GET", key, body: undefined }));
            }, innocentPeriodMs),
        ];
        await sleep(playMs);
        await fleet.waitUntil("a quarantine has ended", () => Promise.resolve(countTrials() > 0), maxPlayMs - playMs);
        timers.forEach((timer) => {
            clearInterval(timer);
        });
        const statuses = (await Promise.all(answers)).map(({ status }) => status);
        const late = crashingRequests.map(({ kind, path }) => ({ kind, count: servers.countLateDeliveries(path) }));
        const served = statuses.filter((status) => status === 200).length;
        expect(late.filter(({ count }) => count > allowedLateDeliveries)).to.deep.equal([]);
        expect(served, "other requests served").to.be.above(statuses.length * minServedShare);
    });

    it("is refused at once, truly and with when to come back, and operators see it", async () => {
        const [request] = crashingRequests as [CrashingRequest];
        const runsBefore = servers.countDeliveries(request.path);
        const answers = await Promise.all(fleet.hosts.map((host) => send(host, { ...request, id: `known-${host.name}` })));
        expect(answers.map(({ status, body }) => [status, (JSON.parse(body) as { reason: string }).reason]))
            .to.deep.equal(fleet.hosts.map(() => [503, "quarantined"]));
        expect(Math.min(...answers.map(({ headers }) => Number(headers["retry-after"])))).to.be.above(0);
        expect(Math.max(...answers.map(({ tookMs }) => tookMs))).to.be.below(promptMs);
        expect(servers.countDeliveries(request.path)).to.equal(runsBefore);
        const metrics = await fetchAdminPage(fleet.hosts[0]!, "/metrics");
        expect(metrics).to.match(/hornbeam_quarantined_fingerprints [1-9]/);
        expect(metrics).to.match(/hornbeam_requests_total\{[^}]*reason="quarantined"[^}]*\} [1-9]/);
        const log = fleet.logs().join("\n");
        expect(log).to.include("\"msg\":\"crashes: request quarantined\"");
        await fleet.waitUntil("the request's line is written", () => Promise.resolve(fleet.logs().some((lines) => lines.includes("\"known-h0\""))));
        const text = render(explain("known-h0", fleet.logs()), false);
        expect(text).to.match(/crashes: request quarantined .*targets=/).and.to.match(/Cause: quarantined\. /);
    });

    it("is still refused after all hosts were killed at once, but for the one run that the end of a quarantine allows", async () => {
        const names = fleet.hosts.map(({ name }) => name);
        await Promise.all([...fleet.hosts].map((host) => fleet.endHost(host, "SIGKILL")));
        for (const name of names) {
            await fleet.startHost(name);
        }
        await fleet.waitUntilServing();
        const deliveriesBefore = crashingRequests.map(({ path }) => servers.countDeliveries(path));
        await sleep(logDelayMs);
        const trialsBefore = countTrials();
        const answers = await Promise.all(crashingRequests.flatMap((request) => fleet.hosts.map((host) =>
            send(host, { ...request, id: `after-restart-${host.name}-${request.path}` }))));
        await sleep(logDelayMs);
        const trials = countTrials() - trialsBefore;
        const deliveries = crashingRequests.map(({ path }, index) => servers.countDeliveries(path) - deliveriesBefore[index]!);
        expect(Math.max(...deliveries), "runs of one request").to.be.at.most(1);
        expect(deliveries.reduce((sum, count) => sum + count, 0), "runs in all, of which each is allowed once").to.be.at.most(trials);
        expect(answers.filter(({ status }) => status !== 503).length, "answers other than 503").to.be.at.most(trials);
    });
});
