import { expect } from "chai";
import { platformTargetDialect } from "../../platform/dialect.js";

const loadOf = (...texts: string[]) => platformTargetDialect.noticeOf({
    status: 200, reasonPhrase: "", rawHeaders: texts.flatMap((text) => ["Server-Load", text]), persistent: true,
}).load;

describe("load report of a target", () => {
    it("states numbers of requests and slots, and optionally the duration of work in percent", () => {
        expect(loadOf("3,1,6")).to.deep.equal({ kind: "stated", running: 3, waiting: 1, slots: 6 });
        expect(loadOf("3,1,6,300")).to.deep.equal({ kind: "stated", running: 3, waiting: 1, slots: 6, percent: 300 });
        expect(loadOf("0, 0, 4, 87.5")).to.deep.equal({ kind: "stated", running: 0, waiting: 0, slots: 4, percent: 87.5 });
        expect(loadOf()).to.equal(undefined);
    });

    it("counts as unreadable if it is negative, huge, of another length or in other units, so that none of these reaches a queue", () => {
        const odd = [
            "", ",", "3,1", "3", "3,1,6,", "3,1,6,100,2", "-1,0,6", "3,1,6,-100", "1e3,0,6", "3,1,6,1e9", "100001,0,6", "0,100001,6",
            "0,0,100001", "3,1,6,0", "3,1,6,100001", "3,1,6,100%", "3;1;6", "NaN,0,6", "Infinity,0,6", "0x3,0,6", "3.5,0,6", "3,1,6,0.3s",
            "9999999999,0,6",
        ];
        for (const text of odd) {
            expect(loadOf(text), text).to.deep.equal({ kind: "unreadable", text });
        }
        expect(loadOf("1,".repeat(10_000))).to.deep.equal({ kind: "unreadable", text: "1,".repeat(20) });
    });
});
