import { expect } from "chai";
import fc from "fast-check";
import { Packr } from "msgpackr";
import type { MemberNews } from "../../src/cluster/memberList.js";
import { MemberCopy, MemberList } from "../../src/cluster/memberList.js";
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

describe("list of hosts at work", () => {
    it("costs each host less than 200 bytes for one of 80 hosts that leaves or comes", () => {
        const list = new MemberList();
        const hosts = Array.from({ length: 80 }, (_, host) => member(host));
        list.replace(hosts);
        const left = list.replace(hosts.slice(1));
        const came = list.replace([...hosts.slice(1), member(0, 1)]);
        const sizes = [left, came].map((news) => new Packr({ useRecords: true }).pack(news).length);
        expect(sizes.every((bytes) => bytes < 200), sizes.join()).to.equal(true);
    });

    it("says nothing when nothing has changed", () => {
        const list = new MemberList();
        expect(list.replace([member(1)])).not.to.equal(undefined);
        expect(list.replace([member(1)])).to.equal(undefined);
        expect(list.version).to.equal(1);
    });

    it("is told from another coordinator's, whose states have the same numbers", () => {
        const copy = new MemberCopy();
        copy.take(term, 1, { came: [member(1)], went: [] });
        expect(copy.take(term + 1 as Term, 2, { since: 1, came: [member(2)], went: [] })).to.equal(undefined);
        expect(copy.isBehind(term + 1 as Term, 2)).to.equal(false);
        expect(runsOf(copy.take(term + 1 as Term, 2, { came: [member(3)], went: [] }))).to.deep.equal(["run-3-0"]);
        expect(copy.state).to.deep.equal({ term: term + 1, version: 2 });
    });

    it("is the same at a host that asks whenever it is behind, whatever is lost or comes late", () => {
        const change = fc.record({
            hosts: fc.uniqueArray(fc.integer({ min: 0, max: 9 })), run: fc.integer({ min: 0, max: 2 }),
            fate: fc.constantFrom("heard", "lost", "late"),
        });
        fc.assert(fc.property(fc.array(change, { maxLength: 30 }), (changes) => {
            const list = new MemberList();
            const copy = new MemberCopy();
            let heard: readonly Member[] | undefined;
            const take = (version: number, news: MemberNews) => {
                heard = copy.take(term, version, news) ?? heard;
            };
            const late: { version: number; news: MemberNews }[] = [];
            take(list.version, list.whole());
            for (const { hosts, run, fate } of changes) {
                const answer = { version: list.version, news: list.whole() };
                const news = list.replace(hosts.map((host) => member(host, run)));
                if (news !== undefined && fate === "heard") {
                    take(list.version, news);
                }
                if (fate === "late") {
                    late.push(answer);
                }
                if (copy.isBehind(term, list.version)) {
                    take(list.version, list.whole());
                }
                late.splice(0, late.length > 2 ? 1 : 0).forEach((answered) => {
                    take(answered.version, answered.news);
                });
            }
            expect(runsOf(heard)).to.deep.equal(runsOf(list.members));
        }));
    });
});
