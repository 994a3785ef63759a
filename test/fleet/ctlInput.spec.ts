import { expect } from "chai";
import { settingsPathVariable } from "../../platform/names.js";
import { run } from "./ctlProcess.js";

/** Nothing listens there. */
const store = ["--store", "127.0.0.1:1"];
const note = ["--author", "ops", "--reason", "a test"];
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

    for (const [name, args, environment] of [
        ["--admin-port", ["status", "--admin-port", "65536"]],
        ["--admin-port", ["status", "--admin-port", "0"]],
        ["--admin-port", ["status"], { HORNBEAM_ADMIN_PORT: "9464x" }],
        ["--timeout-ms", ["config", "status", "--wait", "--timeout-ms", "9s"]],
        ["--timeout-ms", ["config", "status", "--wait", "--timeout-ms", "-1"]],
        ["--based-on", ["config", "publish", "package.json", ...note, "--based-on", "v3"]],
        ["document-version", ["config", "revert", "v3", ...note]],
        ["document-version", ["config", "revert", "1.5", ...note]],
    ] as [string, string[], Record<string, string>?][]) {
        it(`refuses ${[...args, JSON.stringify(environment ?? {})].join(" ")}, and names the value and what is allowed`, async () => {
            const { exitCode, stderr, stdout } = await run([...args, ...store], environment);
            const value = environment?.["HORNBEAM_ADMIN_PORT"] ?? args.find((arg) => /^[-v]?[0-9]/.test(arg)) ?? "";
            expect([exitCode, stdout]).to.deep.equal([badInput, ""]);
            expect(stderr).to.match(new RegExp(`^${name} is "?${value}"?; allowed: a whole number from [01] (to 65535|up)\\n`));
        });
    }
});
