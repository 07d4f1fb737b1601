import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createPrefixCache } from "../src/engine/cache.ts";
import { countSegmentTokens } from "../src/engine/prompt.ts";

const key = fc.constantFrom("p/a", "p/b", "p/c", "p/d");
const size = fc.integer({ min: 1, max: 60 });
const cacheAction = fc.oneof(
    fc.record({ type: fc.constant("start" as const), key, size }),
    fc.record({ type: fc.constant("grow" as const), key, size }),
    fc.record({ type: fc.constant("finish" as const), key, size }),
    fc.record({ type: fc.constant("cancel" as const), key, size }),
    fc.record({ type: fc.constant("release" as const), key, size }),
    fc.record({ type: fc.constant("import" as const), key, size }),
);

void test("memory is accounted for exactly and freed after a release (guards against a cache that leaks)", () => {
    fc.assert(fc.property(fc.array(cacheAction, { maxLength: 60 }), actions => {
        const reportedTokens = new Map<string, number>();
        const cache = createPrefixCache(100, (kind, program, tokens) => {
            reportedTokens.set(program, kind === "stored" ? tokens : 0);
        });
        const pins: Record<string, number> = {};
        const prefix = (name: string, tokens: number) => ({
            key: name,
            model: "m",
            segments: ["x".repeat(4 * tokens)],
        });
        for (const { type, key: name, size: tokens } of actions) {
            const pinned = pins[name] ?? 0;
            if (type === "start" && cache.reserve(name, tokens, false)) {
                pins[name] = pinned + 1;
            }
            else if (type === "import") {
                cache.import(prefix(name, tokens));
            }
            else if (type === "release") {
                cache.release(name);
            }
            else if (type === "grow" && pinned > 0) {
                cache.grow(name, 1);
            }
            else if ((type === "finish" || type === "cancel") && pinned > 0) {
                cache.unpin(name, type === "finish" ? prefix(name, tokens) : undefined);
                pins[name] = pinned - 1;
            }
            const list = cache.list();
            assert.equal(cache.used(), list.reduce((sum, entry) => sum + entry.tokens, 0));
            assert.deepEqual(list.filter(entry => entry.pinned).map(entry => entry.key).sort(),
                Object.keys(pins).filter(other => pins[other]! > 0).sort());
        }
        for (const name of ["p/a", "p/b", "p/c", "p/d"]) {
            for (; (pins[name] ?? 0) > 0; pins[name]! -= 1) {
                cache.unpin(name);
            }
            cache.release(name);
        }
        assert.equal(cache.used(), 0);
        assert.deepEqual(cache.list(), []);
        assert.ok([...reportedTokens.values()].every(tokens => tokens === 0));
    }), { numRuns: 500 });
});

void test("a prefix matches by whole messages and by the common start of the first message that differs", () => {
    const cache = createPrefixCache(1000, () => {});
    const segments = ["user\n" + "a".repeat(35), "assistant\n" + "b".repeat(30)];
    cache.import({ key: "p/a", model: "m", segments });
    assert.equal(cache.match("p/a", "m", segments), countSegmentTokens(segments));
    assert.equal(cache.match("p/a", "m", [segments[0]!, segments[1]! + "c", "user\n"]), 20);
    assert.equal(cache.match("p/a", "m", [segments[0]!.slice(0, 20) + "z", segments[1]!]), 5);
    assert.equal(cache.match("p/a", "other", segments), 0);
    assert.equal(cache.match("p/b", "m", segments), 0);
});
