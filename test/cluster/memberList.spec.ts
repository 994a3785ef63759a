import { expect } from "chai";
import fc from "fast-check";
import { Packr } from "msgpackr";
import type { MemberListUpdate } from "../../src/cluster/memberList.js";
import { MemberList, MemberListCopy } from "../../src/cluster/memberList.js";
import type { Member } from "../../src/cluster/membership.js";
import type { Address, DataCentreId, HostId, RunId, Term } from "../../src/model/names.js";

const term = 3 as Term;

function member(host: number, run = 0): Member {
    return {
        hostId: `front-hofudborg-a-${String(host)}` as HostId, runId: `run-${String(host)}-${String(run)}` as RunId,
        peerAddress: `10.1.0.${String(host)}:7460` as Address, dataCentreId: "hofudborg-a" as DataCentreId, cpuShare: 0.5,
    };
}

function runsOf(members: readonly Member[] | undefined): string[] {
    return (members ?? []).map(({ runId }) => runId).sort();
}

describe("member list", () => {
    it("sends each host less than 200 bytes when one of 80 hosts leaves or joins", () => {
        const list = new MemberList();
        const hosts = Array.from({ length: 80 }, (_, host) => member(host));
        list.replace(hosts);
        const left = list.replace(hosts.slice(1));
        const came = list.replace([...hosts.slice(1), member(0, 1)]);
        const sizes = [left, came].map((update) => new Packr({ useRecords: true }).pack(update).length);
        expect(sizes.every((bytes) => bytes < 200), sizes.join()).to.equal(true);
    });

    it("yields no update when nothing has changed", () => {
        const list = new MemberList();
        expect(list.replace([member(1)])).not.to.equal(undefined);
        expect(list.replace([member(1)])).to.equal(undefined);
        expect(list.version).to.equal(1);
    });

    it("is distinguished from another coordinator's list with the same version numbers", () => {
        const copy = new MemberListCopy();
        copy.apply(term, 1, { came: [member(1)], went: [] });
        expect(copy.apply(term + 1 as Term, 2, { since: 1, came: [member(2)], went: [] })).to.equal(undefined);
        expect(copy.isBehind(term + 1 as Term, 2)).to.equal(false);
        expect(runsOf(copy.apply(term + 1 as Term, 2, { came: [member(3)], went: [] }))).to.deep.equal(["run-3-0"]);
        expect(copy.version).to.deep.equal({ term: term + 1, version: 2 });
    });

    it("is equal at a host that requests it whenever it is behind, even if updates are lost or arrive late", () => {
        const change = fc.record({
            hosts: fc.uniqueArray(fc.integer({ min: 0, max: 9 })), run: fc.integer({ min: 0, max: 2 }),
            delivery: fc.constantFrom("received", "lost", "late"),
        });
        fc.assert(fc.property(fc.array(change, { maxLength: 30 }), (changes) => {
            const list = new MemberList();
            const copy = new MemberListCopy();
            let received: readonly Member[] | undefined;
            const receive = (version: number, update: MemberListUpdate) => {
                received = copy.apply(term, version, update) ?? received;
            };
            const late: { version: number; update: MemberListUpdate }[] = [];
            receive(list.version, list.fullUpdate());
            for (const { hosts, run, delivery } of changes) {
                const fullList = { version: list.version, update: list.fullUpdate() };
                const update = list.replace(hosts.map((host) => member(host, run)));
                if (update !== undefined && delivery === "received") {
                    receive(list.version, update);
                }
                if (delivery === "late") {
                    late.push(fullList);
                }
                if (copy.isBehind(term, list.version)) {
                    receive(list.version, list.fullUpdate());
                }
                late.splice(0, late.length > 2 ? 1 : 0).forEach((delayed) => {
                    receive(delayed.version, delayed.update);
                });
            }
            expect(runsOf(received)).to.deep.equal(runsOf(list.members));
        }));
    });
});
