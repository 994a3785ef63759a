import { expect, use } from "chai";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";
import { readDaemonSettings } from "../../src/host/daemonSettings.js";

use(jestSnapshotPlugin());

const clientDefaults = {
    clientPipelined: 8, clientOverheadBytes: 65_536, clientMinRate: 100, clientStallMs: 5_000, clientMemoryShare: 0.25,
};

describe("settings of the daemon", () => {
    it("come from flags, else from environment variables, else from defaults", () => {
        const settings = readDaemonSettings(["--admin-port", "9000"], { HORNBEAM_ADMIN_PORT: "9001", HORNBEAM_LOG_LEVEL: "warn" });
        expect(settings._unsafeUnwrap()).to.deep.equal({ ...clientDefaults, adminPort: 9_000, logLevel: "warn" });
        expect(readDaemonSettings([], {})._unsafeUnwrap()).to.deep.equal({ ...clientDefaults, adminPort: 9_464, logLevel: "info" });
    });

    it("are rejected with a message that names every invalid flag, its value and the allowed values", () => {
        const bad = [
            ["--admin-port", "0"], ["--log-level", "loud", "--admin-port", "many"], ["--colour", "red"], ["word"],
            ["--client-pipelined", "0"], ["--client-pipelined", "1.5", "--client-stall-ms", "5s"],
            ["--client-memory-share", "1", "--client-min-rate", ""], ["--client-overhead-bytes", "1e99"],
        ];
        expect(bad.map((args) => readDaemonSettings(args, {})._unsafeUnwrapErr().message).join("\n")).toMatchSnapshot();
    });
});
