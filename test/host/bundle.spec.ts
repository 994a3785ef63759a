import { readFileSync } from "node:fs";
import { isBuiltin } from "node:module";
import { expect } from "chai";

/** Names of the modules that a bundle loads when it runs, but for those that it computes. */
function loadedBy(bundle: string): string[] {
    const text = readFileSync(bundle, "utf8");
    return [...new Set([...text.matchAll(/\brequire\("([^"]+)"\)/g)].map(([, name]) => name as string))];
}

describe("bundles of the programs", () => {
    for (const program of ["hornbeam-host", "hornbeam-standin"]) {
        it(`${program} loads nothing but the runtime's own modules, whatever is installed beside it`, () => {
            const names = loadedBy(`target/${program}.cjs`);
            expect(names).to.include("node:http");
            expect(names.filter((name) => !isBuiltin(name))).to.deep.equal([]);
        });
    }
});
