import { expect } from "chai";
import { mayHaveRun, workEndOf } from "../../src/forwarding/attemptEnds.js";

describe("end of an attempt", () => {
    it("that was given up before a connection was open counts as unreachable, not as slow work", () => {
        expect(workEndOf({ kind: "given-up", wasSent: false }, 450)).to.deep.equal({ kind: "unreachable" });
        expect(workEndOf({ kind: "given-up", wasSent: true }, 450)).to.deep.equal({ kind: "late", afterMs: 450 });
        expect(mayHaveRun({ kind: "given-up", wasSent: false })).to.equal(false);
    });
});
