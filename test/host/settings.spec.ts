import { expect, use } from "chai";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";
import { readDaemonSettings } from "../../src/host/daemonSettings.js";

use(jestSnapshotPlugin());

describe("settings of the daemon", () => {
    it("come from flags, else from environment variables, else from defaults", () => {
        const settings = readDaemonSettings(["--admin-port", "9000"], { HORNBEAM_ADMIN_PORT: "9001", HORNBEAM_LOG_LEVEL: "warn" });
        expect(settings._unsafeUnwrap()).to.deep.equal({ adminPort: 9_000, logLevel: "warn" });
        expect(readDaemonSettings([], {})._unsafeUnwrap()).to.deep.equal({ adminPort: 9_464, logLevel: "info" });
    });

    it("are rejected with a message that names every invalid flag, its value and the allowed values", () => {
        const bad = [["--admin-port", "0"], ["--log-level", "loud", "--admin-port", "many"], ["--colour", "red"], ["word"]];
        expect(bad.map((args) => readDaemonSettings(args, {})._unsafeUnwrapErr().message).join("\n")).toMatchSnapshot();
    });
});
