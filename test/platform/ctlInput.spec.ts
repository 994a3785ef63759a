import { expect } from "chai";
import { settingsPathVariable } from "../../platform/names.js";
import { run } from "./ctlProcess.js";

/** Nothing listens there. */
const store = ["--store", "127.0.0.1:1"];
const badInput = 2;
const unreachable = 3;

describe("command line of hornbeamctl", function () {
    this.timeout(60_000);

    it("ignores environment variables that are not its own, such as the daemon's", async () => {
        const { exitCode, stderr } = await run(["status", ...store], { HORNBEAM_LOG_LEVEL: "info", [settingsPathVariable]: "/x" });
        expect([exitCode, stderr]).to.deep.equal([unreachable, ""]);
    });

    it("refuses options that it does not know", async () => {
        for (const args of [["status", "--jsn"], ["drain", "t1", "--udno"], ["config", "show", "-x"], ["explain", "r1", "package.json", "--jsn"]]) {
            const { exitCode, stderr } = await run([...args, ...store]);
            expect(exitCode, args.join(" ")).to.equal(badInput);
            expect(stderr, args.join(" ")).to.include(args.at(-1)?.replace(/^-+/, ""));
        }
    });
});
