import { expect } from "chai";
import { Membership } from "../../src/cluster/membership.js";
import type { Member } from "../../src/cluster/membership.js";
import { connectToPeer, listenForPeers } from "../../src/cluster/peerConnection.js";
import { createPeerLinks } from "../../src/cluster/peerLinks.js";
import { claimTimeMs } from "../../src/cluster/succession.js";
import { createSystemClock } from "../../src/adapters/systemClock.js";
import type { Address, DataCentreId, HostId, RunId } from "../../src/model/names.js";
import { rankCandidates } from "../../src/model/rendezvous.js";
import { Fleet } from "../fleet/fleet.js";

const clock = createSystemClock();

function member(name: string): Member {
    return {
        hostId: name as HostId, runId: `${name}-run` as RunId, peerAddress: `${name}:1` as Address, dataCentreId: "here" as DataCentreId, cpuShare: 1,
    };
}

describe("succession", () => {
    const isCutOffFromTargets = false;

    it("staggers the claims of hosts by rank", () => {
        const at = (rank: number) => claimTimeMs({ lostAtMs: 1_000, rank, knownPeerCount: 4, reachablePeerCount: 4, isCutOffFromTargets });
        expect(at(0)).to.equal(1_000);
        expect(at(1) - at(0)).to.be.above(50);
        expect(at(2) - at(1)).to.equal(at(1) - at(0));
    });

    it("delays the claim of a host that reaches fewer than half of the others", () => {
        expect(claimTimeMs({ lostAtMs: 0, rank: 0, knownPeerCount: 6, reachablePeerCount: 2, isCutOffFromTargets })).to.be.above(2_000);
        expect(claimTimeMs({ lostAtMs: 0, rank: 0, knownPeerCount: 0, reachablePeerCount: 0, isCutOffFromTargets })).to.equal(0);
    });

    it("delays the claim of a host that is cut off from the targets", () => {
        const situation = { lostAtMs: 0, rank: 0, knownPeerCount: 4, reachablePeerCount: 4 };
        expect(claimTimeMs({ ...situation, isCutOffFromTargets: true })).to.be.above(2_000);
    });
});

describe("membership", () => {
    it("leaves suspected hosts out of the reachable ones until the suspicion expires", () => {
        const membership = new Membership(member("a"));
        membership.update([member("b"), member("c")]);
        membership.suspect("b:1" as Address, 500);
        expect(membership.reachable(499).map(({ hostId }) => hostId)).to.deep.equal(["a", "c"]);
        expect(membership.reachable(500).map(({ hostId }) => hostId)).to.deep.equal(["a", "b", "c"]);
    });

    it("excludes this host once it leaves, unless it is the last", () => {
        const membership = new Membership(member("a"));
        membership.leave();
        expect(membership.members()).to.have.length(1);
        membership.update([member("b")]);
        expect(membership.members().map(({ hostId }) => hostId)).to.deep.equal(["b"]);
    });
});

describe("rendezvous hashing", () => {
    const names = Array.from({ length: 10 }, (_, index) => `host-${String(index)}`);

    it("reassigns only the subjects of a lost candidate", () => {
        const subjects = Array.from({ length: 500 }, (_, index) => `target-${String(index)}`);
        const chosen = (candidates: string[]) => subjects.map((subject) => rankCandidates(subject, candidates, (name) => name)[0]);
        const before = chosen(names);
        const after = chosen(names.slice(1));
        subjects.forEach((_, index) => {
            if (before[index] !== names[0]) {
                expect(after[index]).to.equal(before[index]);
            }
        });
        names.forEach((name) => {
            expect(before.filter((one) => one === name).length).to.be.within(25, 80);
        });
    });
});

describe("peer connections", () => {
    it("carry calls and notifications in both directions, in order", async () => {
        const received: number[] = [];
        const address = `127.0.0.1:${String(await Fleet.freePort())}`;
        const listening = await listenForPeers(address, {
            double: ({ value }: { value: number }) => value * 2,
            note: ({ value }: { value: number }) => received.push(value),
            ask: async (_params: object, from) => (await from.call<string>("name", {}, 500)).unwrapOr("none"),
        }, clock, 0);
        const server = listening._unsafeUnwrap();
        const connection = (await connectToPeer(address, { name: () => "caller" }, clock))._unsafeUnwrap();
        for (let value = 0; value < 20; value++) {
            connection.notify("note", { value });
        }
        expect((await connection.call<number>("double", { value: 21 }, 500))._unsafeUnwrap()).to.equal(42);
        expect((await connection.call<string>("ask", {}, 500))._unsafeUnwrap()).to.equal("caller");
        expect(received).to.deep.equal(Array.from({ length: 20 }, (_, index) => index));
        connection.destroy();
        server.close();
    });

    it("fail calls at once when the connection closes, and on timeout when the peer does not answer", async () => {
        const address = `127.0.0.1:${String(await Fleet.freePort())}`;
        const listening = await listenForPeers(address, {
            never: () => new Promise(() => undefined),
            end: (_params: object, from) => {
                from.destroy();
            },
        }, clock, 0);
        const server = listening._unsafeUnwrap();
        const links = createPeerLinks({}, clock);
        const silent = await links.call(address as Address, "never", {}, 50);
        expect(silent._unsafeUnwrapErr().kind).to.equal("lost");
        const ended = await links.call(address as Address, "end", {}, 5_000);
        expect(ended._unsafeUnwrapErr().kind).to.equal("lost");
        server.close();
        links.close();
    });

    it("report a host that cannot be reached as unreachable, not as lost", async () => {
        const links = createPeerLinks({}, clock);
        const refused = await links.call(`127.0.0.1:${String(await Fleet.freePort())}` as Address, "x", {}, 500);
        expect(refused._unsafeUnwrapErr().kind).to.equal("unreachable");
    });
});
