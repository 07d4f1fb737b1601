import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { applyChange, checkConfiguration, type Configuration, configurationIndexOf, type ConfigurationLists,
    createConfiguration, diffConfiguration, hashKey, parseJson } from "../src/index.ts";

const keyHash = hashKey("a");

const fileText = JSON.stringify(
    {
        plans: [{ name: "dunes", keys: [keyHash] }],
        allowances: [{ plan: "dunes", models: ["m1"], services: ["waiver"], budgetTokens: 1000, programsAtOnce: 2 }],
    },
    undefined,
    1,
);

function problemsOf(text: string): string[] {
    return checkConfiguration(text).caseOf({
        Left: found => found.map(({ name, line, field }) => `${name} ${line} ${field}`),
        Right: () => [],
    });
}

describe("checkConfiguration", () => {
    it("accepts a valid file and fills in defaults of optional fields, so that a first file can be short", () => {
        const result = checkConfiguration(fileText);
        assert.equal(result.isRight(), true);
        assert.equal((result.extract() as Configuration).version, 0);
    });

    it("reports the line of a syntax error, so that a typing error can be found in a long file", () => {
        assert.deepEqual(problemsOf("{\n \"plans\": [],\n \"allowances\": [}\n}"), ["syntax 3 (file)"]);
        for (const text of ["", "[", "{\"a\"", "{\"a\":1,}", "nul", "\"\\x\"", "\"a\nb\"", "{} {}", "01", "[1 2]"]) {
            assert.deepEqual(problemsOf(text), ["syntax 1 (file)"], text);
        }
    });

    it("rejects deep nesting (guards against stack exhaustion)", () => {
        assert.deepEqual(problemsOf("[".repeat(1_000_000)), ["syntax 1 (file)"]);
    });

    it("reports all problems at once with their lines (guards against files that are corrected one problem at a time)", () => {
        const text = `{
"plans": [
 {"name": "a b", "keys": ["zz"]},
 {"name": "ok", "keys": [], "note": 1}
],
"allowances": [
 {"plan": "ok", "models": "m", "budgetTokens": -1, "programsAtOnce": 1.5},
 {"plan": "ok", "models": [], "budgetTokens": 1e300}
],
"plan": 1, "plan": 2
}`;
        assert.deepEqual(problemsOf(text), [
            "invalid_value 3 plans[0].name",
            "invalid_value 3 plans[0].keys[0]",
            "unknown_field 4 plans[1].note",
            "wrong_type 7 allowances[0].models",
            "out_of_range 7 allowances[0].budgetTokens",
            "wrong_type 7 allowances[0].programsAtOnce",
            "missing_field 8 allowances[1].programsAtOnce",
            "out_of_range 8 allowances[1].budgetTokens",
            "duplicate_field 10 plan",
            "unknown_field 10 plan",
        ]);
    });

    it("rejects a repeated field (guards against JSON.parse silently dropping the first value)", () => {
        const text = fileText.replace("\"budgetTokens\": 1000", "\"budgetTokens\": 1000,\n\"budgetTokens\": 9000");
        assert.deepEqual(problemsOf(text), ["duplicate_field 20 allowances[0].budgetTokens"]);
    });

    it("rejects references that would leave a plan unusable or a key ambiguous", () => {
        const text = `{
"plans": [
 {"name": "a", "keys": ["${keyHash}"]},
 {"name": "a", "keys": []},
 {"name": "b", "keys": ["${keyHash}"]}
],
"allowances": [
 {"plan": "a", "models": ["m", "m"], "budgetTokens": 1, "programsAtOnce": 1},
 {"plan": "a", "models": [], "budgetTokens": 1, "programsAtOnce": 1},
 {"plan": "c", "models": [], "budgetTokens": 1, "programsAtOnce": 1}
]}`;
        assert.deepEqual(problemsOf(text), [
            "duplicate_plan 4 plans[1].name",
            "plan_without_allowance 5 plans[2].name",
            "duplicate_key 5 plans[2].keys[0]",
            "duplicate_name 8 allowances[0].models[1]",
            "duplicate_allowance 9 allowances[1].plan",
            "unknown_plan 10 allowances[2].plan",
        ]);
    });

    it("returns problems or a configuration for any text and never throws", () => {
        const fragments = fc.constantFrom("{", "}", "[", "]", ",", ":", "\"plans\"", "\"__proto__\"", "1", "-", "null",
            " ");
        fc.assert(fc.property(fc.oneof(fc.string(), fc.json(), fc.array(fragments).map(all => all.join(""))), text => {
            checkConfiguration(text);
        }));
    });

    it("parses every JSON text to the same value as JSON.parse", () => {
        fc.assert(fc.property(fc.json(), text => {
            const value = parseJson(text).map(json => json.value).extract();
            assert.deepEqual(value, JSON.parse(text));
        }));
    });
});

const listsArbitrary: fc.Arbitrary<ConfigurationLists> = fc.uniqueArray(
    fc.record({ name: fc.constantFrom("a", "b", "c", "d"), budget: fc.nat(3), keys: fc.subarray([keyHash]) }),
    { selector: each => each.name },
).map(entries => ({
    plans: entries.map(({ name, keys }) => ({ name, keys })),
    allowances: entries.map(({ name, budget }) => ({
        plan: name,
        models: [],
        services: [],
        budgetTokens: budget,
        programsAtOnce: 1,
    })),
}));

describe("changes", () => {
    it("lead exactly from one version to the next, so that daemons that apply the log have the same configuration", () => {
        fc.assert(fc.property(listsArbitrary, listsArbitrary, (first, second) => {
            const before = createConfiguration(4, first);
            const after = createConfiguration(5, second);
            assert.deepEqual(applyChange(before, diffConfiguration(before, after)), after);
        }));
    });

    it("are ignored unless they are newer, so that a late change cannot revert a configuration (I10)", () => {
        const current = createConfiguration(5, { plans: [], allowances: [] });
        const staleChange = { version: 5, plans: [{ name: "a", keys: [] }], allowances: [], removed: [] };
        assert.equal(applyChange(current, staleChange), current);
    });
});

describe("configuration index", () => {
    it("allows a plan only its own models and services", () => {
        const result = checkConfiguration(fileText).extract() as Configuration;
        const index = configurationIndexOf(result);
        assert.equal(index.planByKeyHash(keyHash)?.name, "dunes");
        assert.equal(index.planByKeyHash(hashKey("b")), undefined);
        assert.equal(index.mayUseModel("dunes", "m1"), true);
        assert.equal(index.mayUseModel("dunes", "waiver"), false);
        assert.equal(index.mayUseService("dunes", "waiver"), true);
        assert.equal(index.mayUseModel("other", "m1"), false);
    });
});
