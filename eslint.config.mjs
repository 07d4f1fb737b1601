import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**", "scripts/**", "eslint.config.mjs"] },
    ...tseslint.configs.recommendedTypeChecked,
    {
        languageOptions: {
            parserOptions: { project: "./tsconfig.json", tsconfigRootDir: import.meta.dirname },
        },
        rules: {
            "curly": "error",
            "eqeqeq": "error",
            "no-underscore-dangle": "error",
            "prefer-const": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/require-await": "off",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_", caughtErrors: "none" }],
            // node:test returns promises that its runner awaits itself.
            "@typescript-eslint/no-floating-promises": ["error", {
                allowForKnownSafeCalls: [{ from: "package", package: "node:test", name: ["test", "describe", "it"] }],
            }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
        },
    },
);
