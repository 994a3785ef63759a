import { readFileSync } from "node:fs";
import { isBuiltin } from "node:module";
import { expect } from "chai";

/** Names of the modules that a bundle requires with a literal name; computed names are not found. */
function requiredModules(bundle: string): string[] {
    const text = readFileSync(bundle, "utf8");
    return [...new Set([...text.matchAll(/\brequire\("([^"]+)"\)/g)].map(([, name]) => name as string))];
}

describe("bundles of the programs", () => {
    for (const program of ["hornbeam-host.cjs", "hornbeam-host.code.js", "hornbeam-standin.cjs"]) {
        it(`${program} requires only built-in modules of the runtime, so that it runs without installed packages`, () => {
            const names = requiredModules(`target/${program}`);
            expect(names).to.include(program === "hornbeam-host.cjs" ? "node:vm" : "node:http");
            expect(names.filter((name) => !isBuiltin(name))).to.deep.equal([]);
        });
    }
});
