import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { describe, it } from "node:test";
import { codes } from "../src/code.ts";
import { codePage } from "../src/codePage.ts";

describe("result codes", () => {
    it("match docs/codes.md; if this fails, run scripts/codes.mjs (guards against an outdated page)", async () => {
        const page = await readFile(new URL("../../../docs/codes.md", import.meta.url), "utf8");
        assert.equal(page, codePage());
    });

    it("are unique and start with an HTTP error status (guards against callers that confuse two codes)", () => {
        const numbers = Object.values(codes).map(({ code }) => code);
        assert.equal(new Set(numbers).size, numbers.length);
        assert.ok(numbers.every(code => code >= 4000 && code < 6000));
    });
});
