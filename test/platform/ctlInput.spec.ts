import { expect } from "chai";
import { settingsPathVariable } from "../../platform/names.js";
import { run } from "./ctlProcess.js";

/** Nothing listens there. */
const store = ["--store", "127.0.0.1:1"];
const unreachable = 3;

describe("command line of hornbeamctl", function () {
    this.timeout(60_000);

    it("ignores environment variables that are not its own, such as the daemon's", async () => {
        const { exitCode, stderr } = await run(["status", ...store], { HORNBEAM_LOG_LEVEL: "info", [settingsPathVariable]: "/x" });
        expect([exitCode, stderr]).to.deep.equal([unreachable, ""]);
    });
});
