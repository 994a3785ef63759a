import stylistic from "@stylistic/eslint-plugin";
import tseslint from "typescript-eslint";

/** Folders of `src` from top to bottom. A module imports only from its own folder and from those below it. */
export const layers = [
    "host", "forwarding", "admission", "reachability", "cluster", "control", "ownership", "crashes", "store",
    "observe", "entry", "config", "routing", "settings", "adapters", "model",
];

/** Modules that import from a higher layer so far, each with these imports. No entry may be added. */
export const upwardImports = {
    "src/cluster/node.ts": ["admission/admissionServer.js"],
    "src/entry/clientCall.ts": ["crashes/requestFingerprint.js"],
    "src/observe/requestLog.ts": ["forwarding/attemptEnds.js", "forwarding/statedRateLimits.js"],
    "src/observe/requestRecorder.ts": ["forwarding/attemptEnds.js", "forwarding/statedRateLimits.js"],
    "src/store/clusterView.ts": ["ownership/ledger.js"],
    "src/store/topicReader.ts": ["ownership/ledgerDecoder.js"],
};

const noNull = { selector: "Literal[raw='null']", message: "Use undefined." };

/** The rule on imports sees import declarations only. */
const noImportExpressions = { selector: "ImportExpression, TSImportType", message: "Use an import declaration." };

/**
 * Forbids imports from higher layers, from `platform` and from `test`.
 * @param files modules that the rule applies to
 * @param layer their folder
 * @param allowed imports that are permitted all the same
 */
function importsFromBelow(files, layer, allowed) {
    const exceptions = allowed.map((path) => `${path.replaceAll(".", "\\.")}$`).join("|");
    const exceptAllowed = exceptions === "" ? "" : `(?!${exceptions})`;
    const above = [...layers.slice(0, layers.indexOf(layer)), "platform", "test"].join("|");
    return {
        files,
        rules: {
            "no-restricted-imports": ["error", { patterns: [{
                regex: `^(\\.\\./)+(src/)?${exceptAllowed}(${above})/`,
                message: `${layer} may import only from layers below it (see layers in eslint.config.js).`,
            }] }],
            "no-restricted-syntax": ["error", noNull, noImportExpressions],
        },
    };
}

export default tseslint.config(
    { ignores: ["dist/**", "node_modules/**", "report/**", "target/**", "journal/**"] },
    ...tseslint.configs.strict,
    {
        files: ["**/*.ts", "**/*.js", "**/*.mjs"],
        plugins: { "@stylistic": stylistic },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-restricted-syntax": ["error", noNull],
            "@stylistic/indent": ["error", 4],
            "@stylistic/quotes": ["error", "double", { avoidEscape: true, allowTemplateLiterals: "always" }],
            "@stylistic/semi": ["error", "always"],
            "@stylistic/brace-style": ["error", "stroustrup"],
            "@stylistic/max-len": ["error", { code: 140, ignoreStrings: true, ignoreTemplateLiterals: true }],
            "@stylistic/comma-dangle": ["error", "always-multiline"],
            "@stylistic/no-trailing-spaces": "error",
            "@stylistic/eol-last": "error",
            "@stylistic/keyword-spacing": "error",
            "@stylistic/max-statements-per-line": ["error", { max: 1 }],
            "@stylistic/no-multiple-empty-lines": ["error", { max: 1 }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "function", format: ["camelCase"] },
            ],
            "@typescript-eslint/no-extraneous-class": "off",
            "@typescript-eslint/no-invalid-void-type": "off",
            "@typescript-eslint/no-dynamic-delete": "off",
        },
    },
    ...layers.map((layer) => importsFromBelow([`src/${layer}/**/*.ts`], layer, [])),
    ...Object.entries(upwardImports).map(([file, allowed]) => importsFromBelow([file], file.split("/")[1], allowed)),
    {
        files: ["test/**/*.ts"],
        rules: { "@typescript-eslint/no-unused-expressions": "off", "@typescript-eslint/no-non-null-assertion": "off" },
    },
);
