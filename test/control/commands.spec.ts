import { expect, use } from "chai";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";
import { stringify } from "yaml";
import { ok } from "neverthrow";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import * as commands from "../../src/control/commands.js";
import { exitCodes, render } from "../../src/control/output.js";
import type { HostId } from "../../src/model/ids.js";
import type { ListedHost } from "../../src/platform/logPort.js";
import type { HostDump } from "../../src/control/session.js";
import { ControlSession } from "../../src/control/session.js";
import { configRecord, smallDocument } from "../support/configRecord.js";
import { FakeLog } from "../support/fakeLog.js";

use(jestSnapshotPlugin());

const note = { author: "ops", reason: "a change for a test" };
const sessions: ControlSession[] = [];

function openSession(log: FakeLog, dumps: object[] = []): ControlSession {
    const session = new ControlSession({
        log, clock: createSystemClock(),
        hostList: { list: () => Promise.resolve(ok(dumps.map((_dump, index) => listedHost(index)))) },
        dumps: { dump: (host) => Promise.resolve(ok(dumps[Number(host.hostId)] as HostDump)) },
    });
    sessions.push(session);
    return session;
}

function listedHost(index: number): ListedHost {
    return { hostId: String(index) as HostId, dataCentre: "dc-a", coordinatorAddress: "", adminAddress: "", state: "live" };
}

describe("hornbeamctl", () => {
    afterEach(() => {
        sessions.splice(0).forEach((session) => {
            session.stop();
        });
    });

    it("names every problem of a document with its line and path", () => {
        const document = smallDocument();
        (document.exceptions[0] ?? { reason: "" }).reason = "";
        const text = stringify(document).replace("leaseMs: 600", "leaseMs: soon");
        const result = commands.validate(text);
        expect(result.exitCode).to.equal(exitCodes.badInput);
        expect(render(result, false)).toMatchSnapshot();
        expect(commands.validate("a: [").exitCode).to.equal(exitCodes.badInput);
    });

    it("publishes over the version in force, and tells a late operator what won", async () => {
        const log = new FakeLog();
        await log.append(configRecord("first", 0));
        const document = smallDocument();
        document.defaults.maxWaiting = 50;
        const won = await commands.publishText(openSession(log), stringify(document), note);
        expect(won.exitCode).to.equal(exitCodes.done);
        const lost = await commands.publishText(openSession(log), stringify(smallDocument()), { ...note, author: "other" }, 1);
        expect(lost.exitCode).to.equal(exitCodes.refused);
        expect(render(lost, false)).toMatchSnapshot();
    });

    it("refuses a publish without an author or a reason", async () => {
        const log = new FakeLog();
        await log.append(configRecord("first", 0));
        const result = await commands.publishText(openSession(log), stringify(smallDocument()), { author: "ops", reason: " " });
        expect(result.exitCode).to.equal(exitCodes.badInput);
        expect(log.appends).to.equal(1);
    });

    it("drains, moves, reverts and keeps the history", async () => {
        const log = new FakeLog();
        await log.append(configRecord("first", 0));
        const results = [
            await commands.drain(openSession(log), "status-1", false, note),
            await commands.move(openSession(log), "hladvarmi/status/battery-7", "status-2", note),
            await commands.revert(openSession(log), 1, note),
            await commands.drain(openSession(log), "nobody", false, note),
            await commands.move(openSession(log), "hladvarmi/archive/x", "status-2", note),
        ];
        expect(results.map((result) => result.exitCode)).to.deep.equal([0, 0, 0, 2, 2]);
        const history = await commands.history(openSession(log));
        expect(history.table?.rows.map((row) => row[0])).to.deep.equal([1, 2, 3, 4]);
    });

    it("begins on a log whose older records have expired, unless a host has a configuration", async () => {
        const log = new FakeLog();
        await log.append({ kind: "of somebody else" });
        await log.append({ kind: "of somebody else" });
        log.forget(1);
        const busy = openSession(log, [{ configOffset: 7 }]);
        expect((await commands.begin(busy)).exitCode).to.equal(exitCodes.refused);
        expect((await commands.begin(openSession(log))).exitCode).to.equal(exitCodes.done);
        const published = await commands.publishText(openSession(log), stringify(smallDocument()), note);
        expect(published.exitCode, published.lines.join()).to.equal(exitCodes.done);
        const shown = await commands.show(openSession(log));
        expect(shown.exitCode).to.equal(exitCodes.done);
    });

    it("says when the log cannot be reached", async () => {
        const log = new FakeLog();
        log.down = true;
        expect((await commands.show(openSession(log))).exitCode).to.equal(exitCodes.unreachable);
    });
});
