#!/usr/bin/env node
/** Daemon on each entry host: coordinates cells and sends keyed work to the servers. */
import "reflect-metadata";
import { container } from "tsyringe";
import { v4 as newUuid } from "uuid";
import type { HostId } from "../model/ids.js";
import { noGuardsOut } from "../model/guards.js";
import { runIdOf } from "../model/ids.js";
import { tokens } from "../model/tokens.js";
import { listPools } from "../config/document.js";
import { CoordinatorService } from "../coordinator/service.js";
import { coordinatorSettings, readSettings } from "../settings/settings.js";
import { listenAdmin } from "../adapters/adminHttp.js";
import { createJournal } from "../adapters/journal.js";
import { createHostListHttp, createLogHttp } from "../adapters/logHttp.js";
import { settingsOrExit, stopOnSignal } from "../adapters/process.js";
import { createRpcLink, listenRpc } from "../adapters/rpcTcp.js";
import { createServerHttp } from "../adapters/serverHttp.js";
import { createSystemClock } from "../adapters/systemClock.js";

const settings = settingsOrExit(readSettings(process.argv.slice(2), process.env, coordinatorSettings));
const clock = createSystemClock();
const journal = createJournal({ ...settings, program: "hornbeam-coordinator" });
const identity = { sharedKey: settings.sharedKey, host: settings.host };

container.registerInstance(tokens.self, runIdOf(settings.host as HostId, newUuid().slice(0, 8)));
container.registerInstance(tokens.clock, clock);
container.registerInstance(tokens.journal, journal);
container.registerInstance(tokens.log, createLogHttp(settings.logUrl, settings.host));
container.registerInstance(tokens.hostList, createHostListHttp(settings.hostListUrl));
container.registerInstance(tokens.linkFactory, (address: string) => createRpcLink(address, identity, clock));
container.registerInstance(tokens.random, () => Math.random());
container.registerInstance(tokens.guardsOut, noGuardsOut);
container.registerInstance(tokens.snapshotEveryMs, settings.snapshotEveryMs);
container.registerInstance(tokens.servers, createServerHttp((server) => {
    const document = service.follower.state.config?.document;
    for (const { config } of document === undefined ? [] : listPools(document)) {
        const target = config.targets.find((one) => one.id === server);
        if (target !== undefined) {
            return { address: target.address, maxConnections: Math.max(1, Math.floor(config.connections / settings.connectionShares)) };
        }
    }
    return undefined;
}));

const service: CoordinatorService = container.resolve(CoordinatorService);

const rpc = await listenRpc(settings.listenAddress, {
    sharedKey: settings.sharedKey,
    isKnownAddress: (ip) => settings.knownAddresses.includes(ip) || service.peers.listedAddresses().has(ip),
}, {
    ping: (params) => service.ping(params),
    view: (params) => service.view(params),
    state: (params) => service.state(params),
    work: (params) => service.work(params),
    handOver: (params) => service.handOver(params),
});
const admin = await listenAdmin(settings.adminAddress, {
    unreadyBecause: () => service.unreadyBecause,
    dump: () => service.describe(),
});
service.start();
journal.info("start", `Coordinator of ${settings.host} listens on ${settings.listenAddress}.`);

stopOnSignal(async () => {
    journal.info("stop", "Handing over and finishing what is in flight.");
    await service.leave();
    await admin.stop({ timeout: 500 });
    rpc.close();
}, settings.stopTimeoutMs);
