import { expect } from "chai";
import type { Offset, RecordId } from "../../src/model/ids.js";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import { emptyState, foldRecord, splitSnapshot } from "../../src/platform/fold.js";
import type { FoldedState } from "../../src/platform/fold.js";
import { LogFollower } from "../../src/platform/logFollower.js";
import { publish } from "../../src/platform/publisher.js";
import { configRecord } from "../support/configRecord.js";
import { FakeLog } from "../support/fakeLog.js";

const clock = createSystemClock();
const followers: LogFollower[] = [];

function follow(log: FakeLog, peer?: () => FoldedState | undefined): LogFollower {
    const follower = new LogFollower(log, clock, () => Promise.resolve(peer?.()));
    followers.push(follower);
    void follower.run();
    return follower;
}

async function until(check: () => boolean): Promise<void> {
    for (let tries = 0; tries < 500 && !check(); tries += 1) {
        await clock.sleep(5);
    }
    expect(check()).to.equal(true);
}

describe("LogFollower", () => {
    afterEach(() => {
        followers.splice(0).forEach((follower) => {
            follower.stop();
        });
    });

    it("serves nobody before it has read a configuration, and says why", async () => {
        const log = new FakeLog();
        log.down = true;
        const follower = follow(log);
        await clock.sleep(20);
        expect(follower.unreadyBecause).to.contain("log-read");
        log.down = false;
        await until(() => follower.unreadyBecause === "no configuration has been published");
        await log.append(configRecord("first", 0));
        await until(() => follower.unreadyBecause === undefined);
    });

    it("catches up from a peer while the log is down, and never goes back to an older peer", async () => {
        const log = new FakeLog();
        await log.append(configRecord("first", 0));
        const follower = follow(log);
        await until(() => follower.state.offset === 1);
        const old = follower.state;
        const ahead = foldRecord(old, { offset: 2 as Offset, payload: configRecord("second", 1) });
        log.down = true;
        follower.adopt(ahead);
        follower.adopt(old);
        expect(follower.state.config?.recordId).to.equal("second");
        // The log comes back as it was before the second record: the offset stays.
        log.down = false;
        await clock.sleep(30);
        expect(follower.state.config?.recordId).to.equal("second");
    });

    it("fills a gap that retention left from a snapshot, or else from a peer", async () => {
        const log = new FakeLog();
        await log.append(configRecord("first", 0));
        await log.append(configRecord("second", 1));
        const whole = log.records.reduce(foldRecord, emptyState);
        for (const chunk of splitSnapshot(whole, "s", 3_000, 0)) {
            await log.append(chunk);
        }
        log.forget(2);
        const fromSnapshot = follow(log);
        await until(() => fromSnapshot.state.config?.recordId === "second");
        log.forget(log.next - 1);
        const fromPeer = follow(log, () => whole);
        await until(() => fromPeer.state.config?.recordId === "second");
        const alone = follow(log);
        await clock.sleep(30);
        expect(alone.unreadyBecause).to.contain("no whole snapshot");
    });
});

describe("publish", () => {
    it("finds a record whose append was answered by nobody, and appends it once", async () => {
        const log = new FakeLog();
        const follower = follow(log);
        log.loseAnswers = 1;
        const verdict = await publish(configRecord("first", 0), log, follower, clock, 2_000);
        expect(verdict._unsafeUnwrap()).to.include({ accepted: true, offset: 1 });
        expect(log.appends).to.equal(1);
    });

    it("says that it cannot tell when the record does not show up", async () => {
        const log = new FakeLog();
        const follower = follow(log);
        const lost = Object.assign(Object.create(log) as FakeLog, { append: () => new FakeLog().append({}).then(() => lostAnswer()) });
        const verdict = await publish(configRecord("first", 0), lost, follower, clock, 100);
        expect(verdict._unsafeUnwrapErr()).to.include({ kind: "lost", step: "publish" });
    });

    it("lets one of two operators win and tells the other", async () => {
        const log = new FakeLog();
        const [one, two] = [follow(log), follow(log)];
        const verdicts = await Promise.all([
            publish(configRecord("one", 0), log, one, clock, 2_000),
            publish(configRecord("two", 0), log, two, clock, 2_000),
        ]);
        const accepted = verdicts.map((verdict) => verdict._unsafeUnwrap().accepted);
        expect(accepted.filter((won) => won)).to.have.length(1);
        expect(verdicts.map((verdict) => verdict._unsafeUnwrap().wonBy)).to.include(1);
        expect(one.state.config?.recordId).to.equal("one" as RecordId);
    });
});

async function lostAnswer() {
    const log = new FakeLog();
    log.loseAnswers = 1;
    return log.append({});
}
