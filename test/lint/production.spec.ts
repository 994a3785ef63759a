import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { expect } from "chai";
import { parse } from "smol-toml";

const root = fileURLToPath(new URL("../../", import.meta.url));

function git(...args: string[]): string {
    return execFileSync("git", args, { cwd: root, encoding: "utf8" }).trim();
}

describe("version in production that the deploy file names", () => {
    const { production } = parse(readFileSync(`${root}deploy/system.toml`, "utf8"));

    it("is a full commit id", () => {
        expect(production).to.match(/^[0-9a-f]{40}$/);
    });

    it("is an earlier commit of this history, with other sources", function () {
        if (git("rev-parse", "--is-shallow-repository") === "true") {
            // The commit may lie beyond what was fetched; the platform refuses one that isn't in the history.
            this.skip();
        }
        git("merge-base", "--is-ancestor", String(production), "HEAD");
        expect(git("rev-parse", `${String(production)}:src`)).not.to.equal(git("rev-parse", "HEAD:src"));
    });
});
