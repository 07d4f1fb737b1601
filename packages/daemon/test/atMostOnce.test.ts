import { EngineError, ServiceError } from "@tamarackgauge/upstream";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { assignPartition, createNode, createPausePoint, modelCall, removeLease, throwLostReply, toolCall,
    writesStep } from "./node.ts";
import type { Outcome, Rows, TableHooks, TestNode } from "./node.ts";

/**
 * Points at which the owner is killed or paused. `executed` is the number of executions at the upstream by then, `retry` the
 * expected result of a retry after the takeover.
 */
const stopPoints = [
    { name: "before the intent is durable", at: "beforeIntent", executed: 0, retry: "runs" },
    { name: "after the intent is durable", at: "afterIntent", executed: 0, retry: "unknown" },
    { name: "at the dispatch", at: "dispatch", executed: 0, retry: "unknown" },
    { name: "after the dispatch, without a reply", at: "execution", executed: 1, retry: "unknown" },
    { name: "after the reply, before the outcome is durable", at: "beforeOutcome", executed: 1, retry: "unknown" },
    { name: "after the outcome is durable", at: "afterOutcome", executed: 1, retry: "replayed" },
] as const;

const callKinds = [{ kind: "service", make: toolCall }, { kind: "model", make: modelCall }] as const;

type StopPoint = typeof stopPoints[number]["at"];

/** Two owners, the first of which pauses at a given point, and upstreams that count executions. */
async function createOwners(at: StopPoint) {
    const pausePoint = createPausePoint();
    const rows: Rows = new Map();
    const executions = new Map<string, number>();
    const pauseAt = (point: StopPoint) => at === point ? pausePoint.pause() : undefined;
    const hooks: TableHooks = {
        before: transaction =>
            writesStep(transaction, "intent")
                ? pauseAt("beforeIntent")
                : writesStep(transaction, "turn")
                ? pauseAt("beforeOutcome")
                : undefined,
        after: transaction =>
            writesStep(transaction, "intent")
                ? pauseAt("afterIntent")
                : writesStep(transaction, "turn")
                ? pauseAt("afterOutcome")
                : undefined,
    };
    const execute = async (key: string, pauses: boolean) => {
        if (pauses) {
            await pauseAt("dispatch");
        }
        executions.set(key, (executions.get(key) ?? 0) + 1);
        if (pauses) {
            await pauseAt("execution");
        }
    };
    const upstreams = (pauses: boolean) => ({
        services: {
            call: async (_service: string, { request }: { readonly request: string; }) => {
                await execute(request, pauses);
                return { answer: { status: 200, body: "done" }, upstream: "tool" };
            },
        },
        engines: {
            engine: async function*({ messages }: { readonly messages: readonly unknown[]; }) {
                const last = messages.at(-1) as { readonly content: string; };
                await execute(`plan/p/${last.content}`, pauses);
                yield { type: "text" as const, text: "done", tokens: 1 };
                yield { type: "done" as const, result: engineResult };
            },
        },
    });
    const first = await createNode({ rows, name: "first", hooks, ...upstreams(true) });
    const second = await createNode({ rows, name: "second", ...upstreams(false) });
    assignPartition(first, "first");
    return {
        first,
        second,
        rows,
        pausePoint,
        executions: (request: string) => executions.get(`plan/p/${request}`) ?? 0,
        takeOver: () => {
            removeLease(rows, "first");
            assignPartition(second, "second");
        },
        [Symbol.asyncDispose]: async () => {
            pausePoint.release();
            await Promise.all([first, second].map(node => node[Symbol.asyncDispose]()));
        },
    };
}

const engineResult = { reason: "stop", promptTokens: 1, cachedTokens: 0, tokens: 1, toolCalls: undefined,
    load: undefined };

function describeOutcome({ refusal, durability }: Outcome): string {
    return durability !== undefined ? "answered" : `${refusal?.code} ${refusal?.run}`;
}

/** Retries the call at the owner that took over, and checks that later retries get the same result. */
async function checkRetry(node: TestNode, make: typeof toolCall, retry: typeof stopPoints[number]["retry"]) {
    const call = make("once");
    const expected = retry === "unknown" ? "5041 unknown" : "answered";
    assert.equal(describeOutcome(await node.call(call)), expected, "the retry");
    assert.equal(describeOutcome(await node.call(call)), expected, "the next retry");
    assert.equal(describeOutcome(await node.call(make("later"))), "answered", "the program continues");
    assert.equal(describeOutcome(await node.call(call)), expected, "the retry after another call");
}

describe("a call that may not be repeated", () => {
    for (const { kind, make } of callKinds) {
        for (const { name, at, executed, retry } of stopPoints) {
            test(`${kind}, owner killed ${name} (guards against a second execution after a takeover)`, async () => {
                await using owners = await createOwners(at);
                void owners.first.call(make("once"));
                await owners.pausePoint.reached;
                assert.equal(owners.executions("once"), executed);
                owners.takeOver();
                await checkRetry(owners.second, make, retry);
                assert.equal(owners.executions("once"), retry === "runs" ? 1 : executed);
            });

            test(`${kind}, owner paused ${name} and resumed after a takeover (guards against a dispatch by an owner that still considers its lease valid)`, async () => {
                await using owners = await createOwners(at);
                const call = owners.first.call(make("once"));
                await owners.pausePoint.reached;
                owners.takeOver();
                await checkRetry(owners.second, make, retry);
                owners.first.advanceClock(10_000);
                owners.pausePoint.release();
                const { refusal } = await call;
                assert.ok(owners.executions("once") <= 1, `${owners.executions("once")} executions`);
                assert.ok(refusal === undefined || refusal.code === 5036,
                    "the entry asks the next owner, whose journal decides");
            });
        }

        for (const step of ["intent", "turn"] as const) {
            test(`${kind}, reply to the write of the ${step} lost (guards against treating a lost reply as a failed write)`, async () => {
                let losses = 0;
                const hooks: TableHooks = {
                    after: async transaction => {
                        if (losses === 0 && writesStep(transaction, step)) {
                            losses += 1;
                            throwLostReply();
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
                            yield { type: "done" as const, result: engineResult };
                        },
                    },
                });
                assignPartition(node, "only");
                assert.equal(describeOutcome(await node.call(make("once"))), "answered");
                assert.equal(describeOutcome(await node.call(make("once"))), "answered");
                assert.equal(losses, 1);
                assert.equal(executions, 1);
            });
        }

        test(`${kind} that fails after the request reached it (guards against withdrawing the intent of a call that ran)`, async () => {
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
            assignPartition(node, "only");
            assert.equal(describeOutcome(await node.call(make("once"))), "5041 unknown");
            assert.equal(describeOutcome(await node.call(make("once"))), "5041 unknown");
            assert.equal(executions, 1);
        });
    }
});
