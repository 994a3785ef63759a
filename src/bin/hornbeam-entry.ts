#!/usr/bin/env node
/** Daemon on each entry host: takes callers' requests and keeps nothing. */
import "reflect-metadata";
import { container } from "tsyringe";
import { v4 as newUuid } from "uuid";
import type { HostId } from "../model/ids.js";
import { runIdOf } from "../model/ids.js";
import { tokens } from "../model/tokens.js";
import { listPools } from "../config/document.js";
import { createCallerHttp } from "../entry/callerHttp.js";
import { EntryService } from "../entry/service.js";
import { entrySettings, readSettings } from "../settings/settings.js";
import { listenAdmin } from "../adapters/adminHttp.js";
import { createJournal } from "../adapters/journal.js";
import { createHostListHttp, createLogHttp } from "../adapters/logHttp.js";
import { settingsOrExit, stopOnSignal } from "../adapters/process.js";
import { createRpcLink } from "../adapters/rpcTcp.js";
import { createSystemClock } from "../adapters/systemClock.js";
import { createTargetHttp } from "../adapters/targetHttp.js";

const leavingNoticeMs = 300;

const settings = settingsOrExit(readSettings(process.argv.slice(2), process.env, entrySettings));
const clock = createSystemClock();
const journal = createJournal({ ...settings, program: "hornbeam-entry" });
const identity = { sharedKey: settings.sharedKey, host: settings.host };

// The entry is no coordinator: under a name of its own it counts the coordinator beside it as a peer too.
container.registerInstance(tokens.self, runIdOf(`${settings.host}/entry` as HostId, newUuid().slice(0, 8)));
container.registerInstance(tokens.clock, clock);
container.registerInstance(tokens.journal, journal);
container.registerInstance(tokens.log, createLogHttp(settings.logUrl, settings.host));
container.registerInstance(tokens.hostList, createHostListHttp(settings.hostListUrl));
container.registerInstance(tokens.linkFactory, (address: string) => createRpcLink(address, identity, clock));
container.registerInstance(tokens.random, () => Math.random());
container.registerInstance(tokens.targets, createTargetHttp(() => {
    const document = service.follower.state.config?.document;
    const connections = document === undefined ? [] : listPools(document).map(({ config }) => config.connections);
    return Math.max(1, Math.floor(Math.min(...connections, 100) / settings.connectionShares));
}));

const service: EntryService = container.resolve(EntryService);
const callers = createCallerHttp(settings.listenAddress, service, settings);
const admin = await listenAdmin(settings.adminAddress, {
    unreadyBecause: () => service.unreadyBecause,
    dump: () => service.describe(),
});
service.start();
await callers.start();
journal.info("start", `Entry of ${settings.host} listens on ${settings.listenAddress}.`);

stopOnSignal(async () => {
    journal.info("stop", "Taking nothing new and finishing what is in flight.");
    service.announceLeaving();
    await clock.sleep(leavingNoticeMs);
    await callers.stop({ timeout: settings.stopTimeoutMs });
    service.stop();
    await admin.stop({ timeout: 500 });
}, settings.stopTimeoutMs);
