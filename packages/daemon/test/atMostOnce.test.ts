import { EngineError, ServiceError } from "@tamarackgauge/upstream";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createHold, createNode, fence, loseReply, modelCall, own, toolCall, writes } from "./node.ts";
import type { Outcome, Rows, TableHooks, TestNode } from "./node.ts";

/** Where the owner stops. `executed` is what the upstream has done by then. */
const points = [
    { name: "before the intent is durable", at: "beforeIntent", executed: 0, retry: "runs" },
    { name: "after the intent is durable", at: "afterIntent", executed: 0, retry: "unknown" },
    { name: "at the dispatch", at: "dispatch", executed: 0, retry: "unknown" },
    { name: "after the dispatch, without a reply", at: "execution", executed: 1, retry: "unknown" },
    { name: "after the reply, before the outcome is durable", at: "beforeOutcome", executed: 1, retry: "unknown" },
    { name: "after the outcome is durable", at: "afterOutcome", executed: 1, retry: "replayed" },
] as const;

const kinds = [{ kind: "service", make: toolCall }, { kind: "model", make: modelCall }] as const;

type Point = typeof points[number]["at"];

/** Two owners, of which the first stops at a point, and an upstream that counts. */
async function createScene(at: Point) {
    const hold = createHold();
    const rows: Rows = new Map();
    const executions = new Map<string, number>();
    const stopAt = (point: Point) => at === point ? hold.stop() : undefined;
    const hooks: TableHooks = {
        before: transaction =>
            writes(transaction, "intent")
                ? stopAt("beforeIntent")
                : writes(transaction, "turn")
                ? stopAt("beforeOutcome")
                : undefined,
        after: transaction =>
            writes(transaction, "intent")
                ? stopAt("afterIntent")
                : writes(transaction, "turn")
                ? stopAt("afterOutcome")
                : undefined,
    };
    const execute = async (key: string, stops: boolean) => {
        if (stops) {
            await stopAt("dispatch");
        }
        executions.set(key, (executions.get(key) ?? 0) + 1);
        if (stops) {
            await stopAt("execution");
        }
    };
    const upstreams = (stops: boolean) => ({
        services: {
            call: async (_service: string, { request }: { readonly request: string; }) => {
                await execute(request, stops);
                return { answer: { status: 200, body: "done" }, upstream: "tool" };
            },
        },
        engines: {
            engine: async function*({ messages }: { readonly messages: readonly unknown[]; }) {
                const last = messages.at(-1) as { readonly content: string; };
                await execute(`plan/p/${last.content}`, stops);
                yield { type: "text" as const, text: "done", tokens: 1 };
                yield { type: "done" as const, result };
            },
        },
    });
    const first = await createNode({ rows, name: "first", hooks, ...upstreams(true) });
    const second = await createNode({ rows, name: "second", ...upstreams(false) });
    own(first, "first");
    return {
        first,
        second,
        rows,
        hold,
        executions: (request: string) => executions.get(`plan/p/${request}`) ?? 0,
        takeOver: () => {
            fence(rows, "first");
            own(second, "second");
        },
        [Symbol.asyncDispose]: async () => {
            hold.release();
            await Promise.all([first, second].map(node => node[Symbol.asyncDispose]()));
        },
    };
}

const result = { reason: "stop", promptTokens: 1, cachedTokens: 0, tokens: 1, toolCalls: undefined, load: undefined };

function verdictOf({ refusal, durability }: Outcome): string {
    return durability !== undefined ? "answered" : `${refusal?.code} ${refusal?.run}`;
}

/** The retry, at the owner that took over, with what must hold of it for good. */
async function checkRetry(node: TestNode, make: typeof toolCall, retry: typeof points[number]["retry"]) {
    const call = make("once");
    const expected = retry === "unknown" ? "5041 unknown" : "answered";
    assert.equal(verdictOf(await node.call(call)), expected, "the retry");
    assert.equal(verdictOf(await node.call(call)), expected, "the next retry");
    assert.equal(verdictOf(await node.call(make("later"))), "answered", "the program goes on");
    assert.equal(verdictOf(await node.call(call)), expected, "the retry after another call");
}

describe("a call that may not be repeated", () => {
    for (const { kind, make } of kinds) {
        for (const { name, at, executed, retry } of points) {
            test(`${kind}, owner killed ${name} (guards against a second execution after a takeover)`, async () => {
                await using scene = await createScene(at);
                void scene.first.call(make("once"));
                await scene.hold.reached;
                assert.equal(scene.executions("once"), executed);
                scene.takeOver();
                await checkRetry(scene.second, make, retry);
                assert.equal(scene.executions("once"), retry === "runs" ? 1 : executed);
            });

            test(`${kind}, owner paused ${name} and continued after a takeover (guards against a dispatch by an owner that believes in its lease)`, async () => {
                await using scene = await createScene(at);
                const call = scene.first.call(make("once"));
                await scene.hold.reached;
                scene.takeOver();
                await checkRetry(scene.second, make, retry);
                scene.first.skip(10_000);
                scene.hold.release();
                const { refusal } = await call;
                assert.ok(scene.executions("once") <= 1, `${scene.executions("once")} executions`);
                assert.ok(refusal === undefined || refusal.code === 5036,
                    "the entry asks the next owner, whose journal decides");
            });
        }

        for (const step of ["intent", "turn"] as const) {
            test(`${kind}, reply to the write of the ${step} lost (guards against taking a lost reply for a lost write)`, async () => {
                let losses = 0;
                const hooks: TableHooks = {
                    after: async transaction => {
                        if (losses === 0 && writes(transaction, step)) {
                            losses += 1;
                            loseReply();
                        }
                    },
                };
                let executions = 0;
                await using node = await createNode({
                    rows: new Map(),
                    name: "only",
                    hooks,
                    services: {
                        call: async () => {
                            executions += 1;
                            return { answer: { status: 200, body: "done" }, upstream: "tool" };
                        },
                    },
                    engines: {
                        engine: async function*() {
                            executions += 1;
                            yield { type: "done" as const, result };
                        },
                    },
                });
                own(node, "only");
                assert.equal(verdictOf(await node.call(make("once"))), "answered");
                assert.equal(verdictOf(await node.call(make("once"))), "answered");
                assert.equal(losses, 1);
                assert.equal(executions, 1);
            });
        }

        test(`${kind} that fails after it was reached (guards against an intent that is taken back although the call ran)`, async () => {
            let executions = 0;
            await using node = await createNode({
                rows: new Map(),
                name: "only",
                services: {
                    call: async () => {
                        executions += 1;
                        throw new ServiceError("no answer", true);
                    },
                },
                engines: {
                    engine: async function*() {
                        executions += 1;
                        throw new EngineError("the stream broke", undefined, true);
                    },
                },
            });
            own(node, "only");
            assert.equal(verdictOf(await node.call(make("once"))), "5041 unknown");
            assert.equal(verdictOf(await node.call(make("once"))), "5041 unknown");
            assert.equal(executions, 1);
        });
    }
});
