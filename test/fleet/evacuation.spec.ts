import { expect } from "chai";
import { evacuationKeyPrefix, topics } from "../../platform/names.js";
import type { ServerStandIn } from "../../platform/standins/serverStandIn.js";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import type { ClientAnswer } from "./fleet.js";
import { buildRoutingConfig, fetchAdminPage, Fleet, keyedService, paths, plainService, send, sleep } from "./fleet.js";

/** Default of the bound on requests to an evacuated data centre; the settings of the test's hosts do not state another one. */
const boundMs = 5_000;
const observedAfterBoundMs = 2_500;
const sendPeriodMs = 25;
const zone = "there";
const plainThere = `plain-${zone}`;
const evacuationKey = `${evacuationKeyPrefix}${zone}`;
const watchedKeys = Array.from({ length: 32 }, (_, index) => index * 2_047);
const clock = createSystemClock();
const nowMs = () => clock.now().monoMs;

interface Sent {
    kind: string;
    atMs: number;
    answer: ClientAnswer;
}

describe("evacuation of one of two data centres", function () {
    this.timeout(60_000);
    let fleet: Fleet;
    const evacuated: ServerStandIn[] = [];
    const sent: Sent[] = [];
    let isSending = true;

    before(async () => {
        fleet = await Fleet.start(0, 0, 0, false);
        fleet.store.put(topics.configuration, "config", buildRoutingConfig(1));
        for (let index = 0; index < 2; index++) {
            await fleet.addServer({ id: `keyed-here-${String(index)}`, service: keyedService, sharded: true });
            evacuated.push(await fleet.addServer({ id: `keyed-${zone}-${String(index)}`, service: keyedService, sharded: true, zone }));
        }
        // The hosts are in the other data centre, whose one slot does not suffice for the requests without keys.
        await fleet.addServer({ id: "plain-here", service: plainService, sharded: false, slots: 1, workMs: 100 });
        evacuated.push(await fleet.addServer({ id: plainThere, service: plainService, sharded: false, zone }));
        await fleet.startHost("h0");
        await fleet.startHost("h1");
        await fleet.waitUntilServing();
        void sendRequests();
    });

    after(async () => {
        isSending = false;
        await fleet.stop();
    });

    async function sendRequests(): Promise<void> {
        for (let count = 0; isSending; count++) {
            const kind = (["read", "order", "list"] as const)[count % 3] as "read" | "order" | "list";
            const host = fleet.hosts[count % fleet.hosts.length]!;
            const atMs = nowMs();
            void send(host, {
                id: `e-${String(count)}`, path: `${paths[kind]}x`,
                ...kind === "list" ? {} : { key: watchedKeys[count % watchedKeys.length] as number },
                ...kind === "order" ? { method: "POST", body: "{}" } : {},
            }).then((answer) => sent.push({ kind, atMs, answer }));
            await sleep(sendPeriodMs);
        }
    }

    const keysThere = () => watchedKeys.filter((key) => evacuated.some((server) => server.holds(key)));
    const requestsThere = (fromMs: number) => evacuated.flatMap(({ id, arrivals }) =>
        arrivals.filter(({ atMs, path, isLeaseCall }) => atMs >= fromMs && !isLeaseCall && path !== "/health").map((arrival) => ({ id, ...arrival })));
    const servedKinds = (fromMs: number) =>
        [...new Set(sent.filter(({ atMs, answer }) => atMs >= fromMs && answer.status === 200).map(({ kind }) => kind))].sort();

    it("moves its keys, lets no request reach its targets after the bound, and serves requests elsewhere; its end gives them back", async () => {
        await fleet.waitUntil("both services use the data centre", () =>
            Promise.resolve(keysThere().length > 0 && requestsThere(0).some(({ id }) => id === plainThere)));
        fleet.store.put(topics.configuration, evacuationKey, {});
        const acknowledgedMs = nowMs();
        await sleep(boundMs);
        expect(await Promise.all(fleet.hosts.map(async (host) =>
            /^hornbeam_evacuated_data_centres (\d+)/m.exec(await fetchAdminPage(host, "/metrics"))?.[1]))).to.deep.equal(["1", "1"]);
        await sleep(observedAfterBoundMs);
        expect(requestsThere(acknowledgedMs + boundMs), "requests after the bound").to.deep.equal([]);
        expect(keysThere(), "keys after the bound").to.deep.equal([]);
        expect(servedKinds(acknowledgedMs + boundMs)).to.deep.equal(["list", "order", "read"]);
        expect(sent.filter(({ atMs, answer }) => atMs >= acknowledgedMs && ![200, 503].includes(answer.status))).to.deep.equal([]);
        fleet.store.put(topics.configuration, evacuationKey, undefined);
        const endedMs = nowMs();
        await fleet.waitUntil("requests without keys reach the data centre again", () =>
            Promise.resolve(requestsThere(endedMs).some(({ id }) => id === plainThere)));
        await fleet.waitUntil("its targets have keys again", () => Promise.resolve(keysThere().length > 0));
    });
});
