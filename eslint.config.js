import stylistic from "@stylistic/eslint-plugin";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/**", "node_modules/**", "report/**", "target/**", "journal/**"] },
    ...tseslint.configs.strict,
    {
        files: ["**/*.ts", "**/*.js", "**/*.mjs"],
        plugins: { "@stylistic": stylistic },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[raw='null']", message: "Use undefined." },
            ],
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
    {
        files: ["test/**/*.ts"],
        rules: { "@typescript-eslint/no-unused-expressions": "off", "@typescript-eslint/no-non-null-assertion": "off" },
    },
);
