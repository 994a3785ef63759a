import { expect } from "chai";
import { sleep } from "./fleet.js";
import { ProperRequestPlay } from "./properRequestPlay.js";

const hostCount = 3;
const playMs = 8_000;
const stopHostAfterMs = 5_000;

/** What may end a proper request: an answer, a refusal that does not blame it, a failure of its target, or the end of its connection. */
const statusesWithoutBlame = [0, 200, 502, 503, 504];

describe("proper requests while others crash their servers", function () {
    this.timeout(60_000);
    let play: ProperRequestPlay;

    before(async () => {
        play = await ProperRequestPlay.start((status) => !statusesWithoutBlame.includes(status));
        await Promise.all(Array.from({ length: hostCount }, (_, index) => play.fleet.startHost(`h${String(index)}`)));
        await play.fleet.waitUntilServing();
    });

    after(() => play.stop());

    it("are not blamed on connections that are used again, with bodies of any size, while a host stops", async () => {
        const playing = play.fleet.hosts.map((host, index) => play.playAt(host, 4_001 + 8 * index, playMs));
        await sleep(stopHostAfterMs);
        await play.fleet.endHost(play.fleet.hosts[2]!, "SIGTERM");
        await Promise.all(playing);
        const counts = JSON.stringify(play.countByStatus);
        expect(play.blamed, counts).to.deep.equal([]);
        expect(play.servers.crashes.length, "crashes").to.be.above(3);
        expect(play.countByStatus[200] ?? 0, counts).to.be.above(300);
        expect(play.smuggledPaths()).to.deep.equal([]);
    });
});
