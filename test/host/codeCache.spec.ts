import { spawnSync } from "node:child_process";
import { copyFileSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { exitCodes } from "../../src/host/hostProcess.js";

/** Position in the file that lies within the first copy of the cache. */
const middleOfFirstCopy = 0.5;

/** Flags of the runtime with which the platform starts the daemon. */
const deployedFlags = /^run = "node (.*?) \S+\.cjs/m.exec(readFileSync("deploy/system.toml", "utf8"))?.[1]?.split(" ") ?? [];

/** Prints whether V8 rejects the cache for the program; arguments: program, cache. */
const reportRejection = `
    const { readFileSync } = require("node:fs");
    const [code, file] = process.argv.slice(1).map((path) => readFileSync(path));
    const cachedData = file.subarray(code.length, (code.length + file.length) / 2);
    console.log(new (require("node:vm").Script)(code.toString("latin1"), { cachedData }).cachedDataRejected);`;

describe("code cache of the daemon", () => {
    let folder: string;
    let cacheFile: string;

    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "hornbeam-cache-"));
        const names = readdirSync("target").filter((name) => name.startsWith("hornbeam-host"));
        for (const name of names) {
            copyFileSync(join("target", name), join(folder, name));
        }
        cacheFile = join(folder, names.find((name) => name.endsWith(".cache")) ?? "missing.cache");
    });

    afterEach(() => {
        rmSync(folder, { recursive: true });
    });

    /** Starts the daemon without settings, which it reports after all its modules have been loaded. */
    const expectStart = (flags: readonly string[]) => {
        const { status, stderr } = spawnSync(process.execPath, [...flags, join(folder, "hornbeam-host.cjs")], { encoding: "utf8", env: {} });
        expect(status).to.equal(exitCodes.invalidSettings);
        expect(stderr).to.match(/^hornbeam-host: .+\n$/);
    };

    it("is accepted with the flags of the deployment; otherwise each start would compile everything without a sign of it", () => {
        const { stdout } = spawnSync(
            process.execPath, [...deployedFlags, "-e", reportRejection, join(folder, "hornbeam-host.code.js"), cacheFile], { encoding: "utf8" });
        expect(stdout).to.equal("false\n");
        expectStart(deployedFlags);
    });

    it("is ignored by a runtime with other flags", () => {
        expectStart(["--no-lazy-feedback-allocation"]);
    });

    const damages: Record<string, (cache: Buffer) => Buffer | undefined> = {
        "missing": () => undefined,
        "empty": () => Buffer.alloc(0),
        "cut short": (cache) => cache.subarray(0, cache.length / 2),
        "changed in one byte, which V8 does not notice": (cache) => {
            const position = Math.round(cache.length * middleOfFirstCopy);
            cache.writeUInt8(cache.readUInt8(position) ^ 0xff, position);
            return cache;
        },
    };
    for (const [damage, change] of Object.entries(damages)) {
        it(`does not keep the daemon from starting when it is ${damage}`, () => {
            const changed = change(readFileSync(cacheFile));
            rmSync(cacheFile);
            if (changed !== undefined) {
                writeFileSync(cacheFile, changed);
            }
            expectStart(deployedFlags);
        });
    }

    it("is ignored when it was written for another program of the same length, which V8 does not notice", () => {
        const codeFile = join(folder, "hornbeam-host.code.js");
        writeFileSync(codeFile, readFileSync(codeFile, "latin1").replace("`hornbeam-host: ", "`HORNBEAM-HOST: "));
        const { stderr } = spawnSync(process.execPath, [...deployedFlags, join(folder, "hornbeam-host.cjs")], { encoding: "utf8", env: {} });
        expect(stderr).to.match(/^HORNBEAM-HOST: /);
    });
});
