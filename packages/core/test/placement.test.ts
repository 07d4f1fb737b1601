import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { decidePlacement, defaultPlacementLimits, initialPlacementState } from "../src/index.ts";
import type { Demand, EngineModels, Move, PlacementInput } from "../src/index.ts";

function engine(name: string, models: readonly string[] | undefined,
    overrides: Partial<EngineModels> = {}): EngineModels {
    return { name, models, acceptsOrders: models !== undefined, loading: [], leaving: false, ...overrides };
}

function createInput(
    planned: readonly string[],
    engines: readonly EngineModels[],
    demand: Readonly<Record<string, Partial<Demand>>> = {},
): PlacementInput {
    const entries = Object.entries(demand).map(([model, each]) =>
        [model, { waiting: 0, running: 0, ...each }] as const
    );
    return { planned: new Set(planned), engines, demand: new Map(entries) };
}

/** Decides every 5 s with `inputAt(second)` as input; returns the moves with their times. */
function movesOver(seconds: number, inputAt: (second: number) => PlacementInput): readonly (readonly [number, Move])[] {
    let state = initialPlacementState;
    const allMoves: (readonly [number, Move])[] = [];
    for (let second = 0; second <= seconds; second += 5) {
        const decided = decidePlacement(state, inputAt(second), second * 1_000);
        state = decided.state;
        allMoves.push(...decided.moves.map(move => [second, move] as const));
    }
    return allMoves;
}

const decideOnce = (input: PlacementInput) => decidePlacement(initialPlacementState, input, 0).moves;

test("a planned model without a live engine gets one at once (guards against refusing every call of a model)", () => {
    assert.deepEqual(decideOnce(createInput(["a"], [engine("e1", [])])), [{ engine: "e1", load: "a",
        unload: undefined }]);
    const withUnplanned = decideOnce(
        createInput(["a", "b"], [engine("e1", ["a"]), engine("e2", ["a"]), engine("e3", ["old"])]),
    );
    assert.deepEqual(withUnplanned, [{ engine: "e3", load: "b", unload: "old" }],
        "a model that no plan uses is unloaded first");
    const withLeaving = decideOnce(createInput(["a"], [engine("e1", ["a"], { leaving: true }), engine("e2", [])]));
    assert.deepEqual(withLeaving, [{ engine: "e2", load: "a", unload: undefined }], "a leaving engine does not count");
});

test("engines that serve any model get no orders (guards against restricting such an engine to one model)", () => {
    assert.deepEqual(decideOnce(createInput(["a", "b"], [engine("e1", undefined), engine("e2", undefined)])), []);
    assert.deepEqual(decideOnce(createInput(["a", "b"], [engine("e1", undefined), engine("e2", ["a"])])), []);
    const fixed = engine("e1", ["a"], { acceptsOrders: false });
    const withFixed = decideOnce(createInput(["a", "b"], [fixed, engine("e2", [])]));
    assert.deepEqual(withFixed, [{ engine: "e2", load: "b", unload: undefined }],
        "an engine without orders counts for the models it serves");
    assert.deepEqual(decideOnce(createInput(["a", "b"], [fixed])), []);
});

test("the last engine of a model is never taken (guards against a model that loses all its engines)", () => {
    assert.deepEqual(decideOnce(createInput(["a", "b"], [engine("e1", ["a"])])), []);
    const movesOfTwo = decideOnce(createInput(["a", "b", "c"], [engine("e1", ["a"]), engine("e2", ["a"])]));
    assert.equal(movesOfTwo.length, 1, "one of two engines may be taken, the other one stays");
    const names = fc.constantFrom("a", "b", "c", "d", "old");
    const lists = fc.array(fc.uniqueArray(names, { maxLength: 2 }), { minLength: 1, maxLength: 8 });
    const demands = fc.dictionary(names, fc.record({ waiting: fc.nat(200), running: fc.nat(50) }));
    fc.assert(
        fc.property(lists, demands, (models, demand) => {
            const engines = models.map((each, index) => engine(`e${index}`, each));
            const given = createInput(["a", "b", "c", "d"], engines, demand);
            const limits = { ...defaultPlacementLimits, holdMs: 0, settleMs: 0, loadsAtOnce: 8 };
            const { moves } = decidePlacement(initialPlacementState, given, 0, limits);
            for (const model of given.planned) {
                const before = engines.filter(each => each.models?.includes(model) === true);
                const after = before.filter(({ name }) =>
                    !moves.some(move => move.engine === name && move.unload === model)
                );
                assert.ok(before.length === 0 || after.length > 0, `${model} lost its last engine`);
            }
        }),
        { seed: 11, numRuns: 500 },
    );
});

test("a backlog of 30 s gets one more engine, then a cooldown applies (guards against loads for every burst)", () => {
    const engines = ["e1", "e2", "e3", "e4"].map(name => engine(name, name === "e1" ? ["a"] : ["b"]));
    const busy = { a: { waiting: 40, running: 8 }, b: { running: 1 } };
    const moves = movesOver(40, () => createInput(["a", "b"], engines, busy));
    assert.deepEqual(moves[0]?.[0], 30);
    assert.equal(moves[0]?.[1].load, "a");
    assert.equal(moves[0]?.[1].unload, "b");
    const burst = movesOver(120, second => createInput(["a", "b"], engines, second % 30 < 25 ? busy : {}));
    assert.deepEqual(burst, [], "a backlog of 25 s is left to the queue");
    const both = movesOver(120, () => createInput(["a", "b"], engines, { a: { waiting: 40 }, b: { waiting: 40 } }));
    assert.deepEqual(both, [], "a model with as large a backlog of its own loses no engine");
});

test("alternating demand of two models moves engines at most once a minute (guards against flapping)", () => {
    let modelByEngine = new Map([["e1", "a"], ["e2", "a"], ["e3", "b"], ["e4", "b"]]);
    let state = initialPlacementState;
    const times: number[] = [];
    for (let second = 0; second <= 600; second += 5) {
        const busyModel = Math.floor(second / 40) % 2 === 0 ? "a" : "b";
        const engines = [...modelByEngine].map(([name, model]) => engine(name, [model]));
        const decided = decidePlacement(state, createInput(["a", "b"], engines, { [busyModel]: { waiting: 60 } }),
            second * 1_000);
        state = decided.state;
        for (const move of decided.moves) {
            times.push(second);
            modelByEngine = new Map(modelByEngine).set(move.engine, move.load);
        }
    }
    const gaps = times.slice(1).map((time, index) => time - times[index]!);
    assert.ok(times.length > 0 && gaps.every(gap => gap >= 60), `moves at ${times.join(", ")} s`);
});

test("at most two loads run at once (guards against loads that time out at the rate-limited weight store)", () => {
    const empty = ["e1", "e2", "e3", "e4"].map(name => engine(name, []));
    assert.equal(decideOnce(createInput(["a", "b", "c", "d"], empty)).length, 2);
    const loading = [engine("e0", [], { loading: ["x", "y"] }), ...empty];
    assert.deepEqual(decideOnce(createInput(["a", "b", "c", "d"], loading)), []);
});

test("decisions don't depend on the order of the input (guards against two daemons loading the same model)", () => {
    const engines = Array.from({ length: 9 }, (_, index) => engine(`e${index}`, index < 5 ? ["a"] : []));
    const given = createInput(["a", "b", "c"], engines);
    const reversed = createInput(["c", "b", "a"], [...engines].reverse());
    assert.deepEqual(decideOnce(given), decideOnce(reversed));
});
