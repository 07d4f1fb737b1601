import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { describe, it } from "node:test";
import { codes } from "../src/code.ts";
import { codePage } from "../src/codePage.ts";

describe("result codes", () => {
    it("are printed on docs/codes.md as they are in the table; else run scripts/codes.mjs", async () => {
        const page = await readFile(new URL("../../../docs/codes.md", import.meta.url), "utf8");
        assert.equal(page, codePage());
    });

    it("are unique and start with an HTTP error status, since callers decide by number", () => {
        const numbers = Object.values(codes).map(({ code }) => code);
        assert.equal(new Set(numbers).size, numbers.length);
        assert.ok(numbers.every(code => code >= 4000 && code < 6000));
    });
});
