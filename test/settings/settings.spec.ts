import { expect, use } from "chai";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";
import { coordinatorSettings, readSettings } from "../../src/settings/settings.js";

use(jestSnapshotPlugin());

const good = [
    "--host=h1", "--data-centre=dc-a", "--log-url=http://10.0.0.1:7000", "--host-list-url=http://10.0.0.1:7001",
    "--admin-address=10.0.0.2:7102", "--listen-address=10.0.0.2:7100", "--shared-key=0123456789abcdef",
];

describe("settings", () => {
    it("are read from flags, then from environment variables, then by default", () => {
        const settings = readSettings(good.slice(1), { HORNBEAM_HOST: "h2", HORNBEAM_LOG_LEVEL: "warn" }, coordinatorSettings)._unsafeUnwrap();
        expect(settings).to.include({ host: "h2", logLevel: "warn", snapshotEveryMs: 3_600_000 });
    });

    it("end the start with a line that names the flag, the value and what is allowed", () => {
        const bad = [
            good.slice(1),
            [...good, "--admin-address=nowhere"],
            [...good, "--connection-shares=0"],
            [...good, "--log-level=loud"],
            [...good, "--shared-key=short"],
            [...good, "--colour=red"],
        ];
        const lines = bad.map((args) => readSettings(args, {}, coordinatorSettings)._unsafeUnwrapErr().message);
        expect(lines.join("\n")).toMatchSnapshot();
        expect(lines.join()).to.not.contain("short");
    });
});
