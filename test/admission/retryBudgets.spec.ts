import { expect } from "chai";
import { createRetryBudgets } from "../../src/admission/retryBudgets.js";
import type { ServiceId } from "../../src/model/names.js";

const serviceId = "main" as ServiceId;
const allowance = { ratio: 0.2, extra: 180 };
const hostCount = 70;
const windowSeconds = 10;
const requestsPerHostAndSecond = 40;
const retriesWantedPerRequest = 3;

/** One process of a host; it learns of the other hosts some time after its start. */
class Host {
    private startedAtSecond = Number.NEGATIVE_INFINITY;
    private budgets = this.createBudgets(0);
    private nowSecond = 0;

    constructor(private readonly joinsAfterSeconds: number) {}

    restart(second: number): void {
        this.startedAtSecond = second;
        this.budgets = this.createBudgets(1);
    }

    /** Serves the requests of one second, all of which are rejected by their targets; returns the number of retries sent. */
    serveSecond(second: number): number {
        this.nowSecond = second;
        let retryCount = 0;
        for (let request = 0; request < requestsPerHostAndSecond; request++) {
            this.budgets.onRequest(serviceId);
            for (let retry = 0; retry < retriesWantedPerRequest && this.budgets.take(serviceId); retry++) {
                retryCount += 1;
            }
        }
        return retryCount;
    }

    private createBudgets(knownAtStart: number) {
        return createRetryBudgets(allowance, () =>
            this.nowSecond - this.startedAtSecond < this.joinsAfterSeconds ? knownAtStart : hostCount);
    }
}

/** Returns the largest number of retries by which all hosts together exceed the allowance in a window. */
function maxExcess(retriesBySecond: readonly number[]): number {
    const allowed = allowance.extra + allowance.ratio * windowSeconds * hostCount * requestsPerHostAndSecond;
    const windows = retriesBySecond.slice(windowSeconds - 1).map((_, end) =>
        retriesBySecond.slice(end, end + windowSeconds).reduce((sum, count) => sum + count, 0));
    return Math.max(...windows) - allowed;
}

describe("retry budgets of all hosts together", () => {
    // A host that has just started knew of no other host, and took the allowance of all.
    it("keep to the allowance while hosts restart one after the other and learn of the others only after some seconds", () => {
        const hosts = Array.from({ length: hostCount }, () => new Host(2));
        const retriesBySecond: number[] = [];
        for (let second = 0; second < 3 * windowSeconds; second++) {
            const first = (second - windowSeconds) * 3;
            hosts.slice(Math.max(0, first), Math.max(0, first + 3)).forEach((host) => {
                host.restart(second);
            });
            retriesBySecond.push(hosts.reduce((sum, host) => sum + host.serveSecond(second), 0));
        }
        expect(maxExcess(retriesBySecond)).to.be.at.most(0);
    });
});
