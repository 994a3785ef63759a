import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { expect } from "chai";
import { ESLint } from "eslint";

const root = fileURLToPath(new URL("../../", import.meta.url));
const { layers, upwardImports } = await import(new URL("../../eslint.config.js", import.meta.url).href) as {
    layers: readonly string[];
    upwardImports: Record<string, readonly string[]>;
};

describe("layers of src", function () {
    this.timeout(60_000);
    const eslint = new ESLint({ cwd: root });

    async function rulesBrokenBy(code: string, file: string): Promise<(string | undefined)[]> {
        const [result] = await eslint.lintText(`${code}\n`, { filePath: `${root}${file}` });
        return (result?.messages ?? []).map(({ ruleId }) => ruleId ?? undefined)
            .filter((ruleId) => ruleId === "no-restricted-imports" || ruleId === "no-restricted-syntax");
    }

    it("hold every folder of src", () => {
        expect(readdirSync(`${root}src`).sort()).to.deep.equal([...layers].sort());
    });

    it("may import from layers below, and not from layers above, platform or test", async () => {
        for (const [index, layer] of layers.entries()) {
            for (const [otherIndex, other] of layers.entries()) {
                const broken = await rulesBrokenBy(`import type { A } from "../${other}/a.js";`, `src/${layer}/new.ts`);
                expect(broken, `${layer} from ${other}`).to.deep.equal(otherIndex < index ? ["no-restricted-imports"] : []);
            }
            for (const outside of ["../../platform/a.js", "../../test/a.js"]) {
                const broken = await rulesBrokenBy(`import { a } from "${outside}";`, `src/${layer}/new.ts`);
                expect(broken, `${layer} from ${outside}`).to.deep.equal(["no-restricted-imports"]);
            }
        }
    });

    it("are not evaded by import expressions and import types", async () => {
        expect(await rulesBrokenBy("export const a = import(\"../host/a.js\");", "src/model/new.ts")).to.deep.equal(["no-restricted-syntax"]);
        expect(await rulesBrokenBy("export type A = import(\"../host/a.js\").A;", "src/model/new.ts")).to.deep.equal(["no-restricted-syntax"]);
    });

    it("have no exception that is not needed, and an exception permits only the listed imports", async () => {
        for (const [file, imports] of Object.entries(upwardImports)) {
            const code = readFileSync(`${root}${file}`, "utf8");
            for (const path of imports) {
                expect(code, file).to.include(`"../${path}"`);
                expect(await rulesBrokenBy(`import type { A } from "../${path}";`, file), file).to.deep.equal([]);
            }
            expect(await rulesBrokenBy("import type { A } from \"../host/other.js\";", file), file).to.deep.equal(["no-restricted-imports"]);
        }
    });
});
