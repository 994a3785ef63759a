import { expect } from "chai";
import type { CellId, HostId } from "../../src/model/ids.js";
import { assignCoordinators } from "../../src/coordinator/assignment.js";
import { dataCentreOf } from "../../src/harness/sampleConfig.js";

const hostsOf = (count: number) => Array.from({ length: count }, (_, index) => ({
    hostId: `host-${String(index)}` as HostId, dataCentre: dataCentreOf(index),
}));
const cellsOf = (count: number) => Array.from({ length: count }, (_, index) => `cell-${String(index)}` as CellId);

describe("assignCoordinators", () => {
    for (const hostCount of [8, 10, 100, 1_000]) {
        it(`spreads cells over ${String(hostCount)} hosts and moves hardly more than needed when one leaves`, function () {
            this.timeout(20_000);
            const cells = cellsOf(hostCount * 3);
            const hosts = hostsOf(hostCount);
            const before = assignCoordinators(cells, hosts, 4);
            const after = assignCoordinators(cells, hosts.slice(1), 4);
            const counts = new Map<HostId, number>();
            for (const [first] of before.values()) {
                counts.set(first as HostId, (counts.get(first as HostId) ?? 0) + 1);
            }
            const needed = cells.filter((cell) => before.get(cell)?.[0] === hosts[0]?.hostId).length;
            const moved = cells.filter((cell) => before.get(cell)?.[0] !== after.get(cell)?.[0]).length;
            expect(Math.max(...counts.values())).to.be.at.most(4);
            // A few, however many hosts there are.
            expect(moved - needed).to.be.at.most(6);
        });
    }

    it("ranks a successor in another data centre", () => {
        const hosts = hostsOf(8);
        const dataCentres = new Map(hosts.map((host) => [host.hostId, host.dataCentre]));
        for (const [first, second] of assignCoordinators(cellsOf(32), hosts, 4).values()) {
            expect(dataCentres.get(first as HostId)).to.not.equal(dataCentres.get(second as HostId));
        }
    });
});
