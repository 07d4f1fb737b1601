import { createSeal, refuse, systemClock } from "@tamarackgauge/core";
import type { AnswerEvent, Call, CodeName, Refusal } from "@tamarackgauge/core";
import { LinkError } from "@tamarackgauge/peer";
import type { Peers } from "@tamarackgauge/peer";
import { createTimeline } from "@tamarackgauge/timeline";
import { EngineError, ServiceError } from "@tamarackgauge/upstream";
import type { EngineClient } from "@tamarackgauge/upstream";
import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, test } from "node:test";
import { createEntry } from "../src/entry.ts";
import { createServices } from "../src/services.ts";
import { assignPartition, createNode, createPausePoint, modelCall, toolCall } from "./node.ts";
import type { Outcome, TableHooks, TestNode, TestNodeOptions } from "./node.ts";

const request = "refused";
const done = { type: "done" as const,
    result: { reason: "stop", promptTokens: 1, cachedTokens: 0, tokens: 1, toolCalls: undefined, load: undefined } };

/** A node whose upstreams count the requests that they receive. */
async function createCountingNode(options: Partial<TestNodeOptions> = {}) {
    const requestCounts = new Map<string, number>();
    const countRequest = (key: string) => requestCounts.set(key, (requestCounts.get(key) ?? 0) + 1);
    const pausePoint = createPausePoint();
    const node = await createNode({
        rows: new Map(),
        name: "only",
        services: {
            call: async (_service, call, signal) => {
                countRequest(call.request.split("/").at(-1) ?? "");
                if (call.path === "hold") {
                    await Promise.race([pausePoint.pause(), new Promise(resolve => {
                        signal.addEventListener("abort", resolve);
                    })]);
                }
                return { answer: { status: 200, body: "done" }, upstream: "tool" };
            },
        },
        engines: {
            engine: async function*({ messages }) {
                countRequest(messages.at(-1)?.content as string);
                yield done;
            },
        },
        ...options,
    });
    assignPartition(node, "only");
    return {
        node,
        pausePoint,
        seenRequests: () => requestCounts.get(request) ?? 0,
        [Symbol.asyncDispose]: async () => {
            pausePoint.release();
            await node[Symbol.asyncDispose]();
        },
    };
}

type CountingNode = Awaited<ReturnType<typeof createCountingNode>>;

const tool = { kind: "tool" as const, service: "tool", path: "do", body: "{}" };
const pausedCall = (name: string, overrides: Partial<Call> = {}) =>
    toolCall(name, { atMostOnce: false, target: { ...tool, path: "hold" }, ...overrides });
const plainCall = (overrides: Partial<Call> = {}) => toolCall(request, { atMostOnce: false, ...overrides });

function plainModelCall(overrides: Partial<Call> = {}): Call {
    return modelCall(request, { atMostOnce: false, ...overrides });
}

const neverStoresJournal: TableHooks = {
    before: transaction =>
        transaction.puts.some(({ key }) => key.startsWith("journal/")) ? new Promise(() => {}) : undefined,
};

function createFailingStream(error: EngineError): EngineClient["stream"] {
    // A stream that fails before its first event.
    return () => ({ [Symbol.asyncIterator]: () => ({ next: () => Promise.reject(error) }) });
}

async function callWithForeignSeal(node: TestNode, overrides: Parameters<typeof modelCall>[1] = {}): Promise<Outcome> {
    const seal = createSeal("seal-key-of-the-tests", "plan/p", { sequence: 3, digest: "other" });
    return node.call(plainModelCall({ seal, ...overrides }));
}

interface RefusalCase {
    readonly code: CodeName;
    readonly when: string;
    readonly options?: Partial<TestNodeOptions>;
    readonly run: (countingNode: CountingNode) => Promise<Outcome>;
}

const isolation = { leaseValid: false, heartbeats: [] };

const refusalCases: readonly RefusalCase[] = [
    { code: "journal_full", when: "too many bytes are queued for the store",
        options: { admissionConditions: { queuedBytes: 1e9 } }, run: ({ node }) => node.call(plainCall()) },
    { code: "isolated", when: "neither store nor peers answer", options: { admissionConditions: isolation },
        run: ({ node }) => node.call(plainCall()) },
    { code: "store_unavailable", when: "the store is down for all",
        options: { admissionConditions: { leaseValid: false, heartbeats: [], members: 1 } },
        run: ({ node }) => node.call(toolCall(request)) },
    { code: "store_unavailable", when: "the intent is not stored in time", options: { hooks: neverStoresJournal },
        run: ({ node }) => node.call(toolCall(request)) },
    { code: "owner_unreachable", when: "a peer reaches the store and this owner does not",
        options: { admissionConditions: { leaseValid: false } }, run: ({ node }) => node.call(plainCall()) },
    { code: "owner_unreachable", when: "the partition is handed over", run: async ({ node }) => {
        await node.owner.drain([0], AbortSignal.timeout(5_000));
        return node.call(plainCall());
    } },
    { code: "upstream_missing", when: "no service is listed",
        run: ({ node }) => node.call(plainCall({ target: { ...tool, service: "missing" } })) },
    { code: "upstream_missing", when: "no engine is listed", options: { engines: {} },
        run: ({ node }) => node.call(plainModelCall()) },
    { code: "upstream_unreachable", when: "nothing listens at the service",
        options: { services: createUnreachableService() }, run: ({ node }) => node.call(plainCall()) },
    { code: "upstream_unreachable", when: "nothing listens at the service, for a call with an intent",
        options: { services: createUnreachableService() }, run: ({ node }) => node.call(toolCall(request)) },
    { code: "upstream_failed", when: "the engine rejects the call",
        options: { engines: { engine: createFailingStream(new EngineError("status 400", 400, false)) } },
        run: ({ node }) => node.call(plainModelCall()) },
    { code: "budget_spent", when: "the budget does not cover the call", options: { budgetTokens: 5 },
        run: ({ node }) => node.call(plainModelCall()) },
    { code: "programs_at_once", when: "all slots are taken", options: { programsAtOnce: 1 }, run: async ({ node }) => {
        await node.call(toolCall("other", { program: "other" }));
        return node.call(plainCall());
    } },
    { code: "identity_reused", when: "a call with the same identity and another body has finished",
        run: async ({ node }) => {
            await node.call(toolCall("used"));
            return node.call(toolCall("used", { digest: "another", target: { ...tool, path: request } }));
        } },
    { code: "identity_reused", when: "a call with the same identity and another body is running",
        run: async ({ node, pausePoint }) => {
            void node.call(pausedCall("used"));
            await pausePoint.reached;
            return node.call(pausedCall("used", { digest: "another" }));
        } },
    { code: "too_many_waiting", when: "16 calls are waiting", run: async ({ node }) => {
        const waiting = Array.from({ length: 16 }, (_, index) => node.call(toolCall(`${index}`, { sequence: 2 })));
        const refused = await node.call(plainCall({ sequence: 2 }));
        node.owner.abandon();
        await Promise.all(waiting);
        return refused;
    } },
    { code: "sequence_gap", when: "an earlier call does not arrive", run: async ({ node }) => {
        const late = node.call(plainCall({ sequence: 9 }));
        await new Promise(resolve => setImmediate(resolve));
        node.advanceClock(31_000);
        await node.committer.flush();
        await node.call(toolCall("first", { sequence: 0, atMostOnce: false }));
        return late;
    } },
    { code: "deadline", when: "the caller cancels a waiting call", run: async ({ node, pausePoint }) => {
        void node.call(pausedCall("first"));
        await pausePoint.reached;
        const caller = new AbortController();
        const waiting = node.call(plainCall(), caller.signal);
        await new Promise(resolve => setImmediate(resolve));
        caller.abort();
        return waiting;
    } },
    { code: "history_needed", when: "the seal is newer than the journal",
        run: ({ node }) => callWithForeignSeal(node) },
    { code: "history_needed", when: "the history does not match the seal", run: ({ node }) => {
        const seal = createSeal("seal-key-of-the-tests", "plan/p", { sequence: 3, digest: "other" });
        const history = { messages: [{ role: "assistant", content: "forged" }], seal };
        const messages = [{ role: "user", content: request }];
        return callWithForeignSeal(node, {
            target: { kind: "model", model: "model", messages, maxTokens: 9, history },
        });
    } },
    { code: "sequence_past", when: "another call has used the sequence number", run: async ({ node }) => {
        await node.call(toolCall("first", { sequence: 0 }));
        return node.call(plainCall({ sequence: 0 }));
    } },
    { code: "program_ended", when: "the program has ended", run: async ({ node }) => {
        await node.call(toolCall("last", { end: true }));
        return node.call(plainCall());
    } },
    { code: "turn_limit", when: "the turn limit is reached", options: { turnLimit: 1 }, run: async ({ node }) => {
        await node.call(toolCall("first"));
        return node.call(plainCall());
    } },
];

/** Services with one listed service that does not listen. */
function createUnreachableService() {
    const services = createServices();
    services.setVms([{ name: "tool", kind: "service", address: "127.0.0.1", port: 1, dataCentre: "dc1",
        state: "live" }]);
    return services;
}

describe("a refusal as notRun", () => {
    for (const { code, when, options, run } of refusalCases) {
        test(`${code} when ${when}: the upstream received nothing (guards against notRun for a call that ran)`, async () => {
            await using countingNode = await createCountingNode(options);
            const { refusal } = await run(countingNode);
            assert.equal(refusal?.name, code);
            assert.equal(refusal.run, "notRun");
            assert.equal(countingNode.seenRequests(), 0);
        });
    }

    test("each code that the sources refuse with as notRun has a case (guards against a new refusal without a test)", () => {
        // Codes for requests other than calls, and codes of the admission of another process.
        const coveredElsewhere = ["version_conflict", "program_unknown"];
        const policy = join(import.meta.dirname, "../../core/src/policy");
        const sources = [join(import.meta.dirname, "../src"), policy].flatMap(folder =>
            readdirSync(folder).map(file => readFileSync(join(folder, file), "utf8"))
        );
        const refusedCodes = sources.flatMap(text =>
            [...text.matchAll(/refuse\("(\w+)",\s*"notRun"/g)].map(([, name]) => name)
        );
        const covered = new Set<string>([...refusalCases.map(({ code }) => code), "overloaded", ...coveredElsewhere]);
        assert.deepEqual([...new Set(refusedCodes)].filter(name => !covered.has(name ?? "")), []);
    });
});

/** Engines that fail with the given errors, in the order in which they are tried. */
function createFailingEngines(...errors: readonly EngineError[]): Record<string, EngineClient["stream"]> {
    const remainingErrors = [...errors];
    const stream: EngineClient["stream"] = (call, signal) => {
        const error = remainingErrors.shift();
        return createFailingStream(error ?? new EngineError("no further failure", undefined, true))(call, signal);
    };
    return Object.fromEntries(errors.map((_, index) => [`engine${index}`, stream]));
}

const brokenStream = new EngineError("the stream broke", undefined, true);
const engineBusy = new EngineError("status 429", 429, false);

describe("a refusal after an attempt that may have run is unknown", () => {
    const engineCases = [
        { when: "no other engine is listed", engines: createFailingEngines(brokenStream), budgetTokens: 1_000 },
        { when: "the budget does not cover another attempt", engines: createFailingEngines(brokenStream, brokenStream),
            budgetTokens: 15 },
        { when: "the next engine was not reached and the budget is spent",
            engines: createFailingEngines(brokenStream, engineBusy, engineBusy), budgetTokens: 25 },
        { when: "the last engine was not reached", engines: createFailingEngines(brokenStream, engineBusy, engineBusy),
            budgetTokens: 1_000 },
    ];
    for (const { when, ...options } of engineCases) {
        for (const atMostOnce of [false, true]) {
            test(`engine, ${when}${atMostOnce ? ", with an intent" : ""} (guards against ignoring the first attempt)`, async () => {
                await using countingNode = await createCountingNode(options);
                const { refusal } = await countingNode.node.call(plainModelCall({ atMostOnce }));
                assert.equal(refusal?.run, "unknown", JSON.stringify(refusal));
            });
        }
    }

    test("service, reached by the first attempt and not by the second (guards against considering only the last attempt)", async () => {
        let attempts = 0;
        const services = { call: async () => {
            attempts += 1;
            throw new ServiceError("no answer", attempts === 1);
        } };
        await using countingNode = await createCountingNode({ services });
        const { refusal } = await countingNode.node.call(plainCall());
        assert.equal(attempts, 2);
        assert.equal(refusal?.run, "unknown");
    });

    test("a sequence number within a restored history (guards against notRun for a call that ran before the loss)", async () => {
        await using countingNode = await createCountingNode();
        await using nodeBeforeLoss = await createCountingNode();
        const first = plainModelCall({ request: "first", sequence: 0 });
        const { seal } = await nodeBeforeLoss.node.call(first);
        const target = first.target as Extract<Call["target"], { kind: "model"; }>;
        const messages = [...target.messages, { role: "assistant", content: "" }];
        const history = { messages, seal: seal ?? "" };
        const restored = await countingNode.node.call(
            plainModelCall({ request: "second", target: { ...target, history } }),
        );
        assert.equal(restored.durability, "stored", JSON.stringify(restored.refusal));
        const { refusal } = await countingNode.node.call(first);
        assert.equal(refusal?.run, "unknown");
    });

    const entryCases = [
        { what: "a broken link", first: "broken", then: refuse("budget_spent", "notRun") },
        { what: "an owner that lost the program", first: refuse("owner_unreachable", "unknown"),
            then: refuse("budget_spent", "notRun") },
        { what: "part of the answer", first: "text", then: refuse("overloaded", "notRun") },
        { what: "part of the answer at another entry", first: "resumed", then: refuse("overloaded", "notRun") },
    ] as const;
    for (const { what, first, then } of entryCases) {
        test(`entry, after ${what} (guards against considering only the last owner's refusal)`, async () => {
            const refusal = await refusalAfterAttempt(first, then);
            assert.equal(refusal?.run, "unknown");
        });
    }
});

/** The refusal of an entry whose first attempt has the given result and whose next one is refused. */
async function refusalAfterAttempt(firstAttempt: string | Refusal, nextRefusal: Refusal): Promise<Refusal | undefined> {
    let attempts = 0;
    async function* attempt(): AsyncGenerator<AnswerEvent, void> {
        attempts += 1;
        if (attempts > 1 || firstAttempt === "resumed") {
            yield { type: "refused", refusal: nextRefusal };
        }
        else if (typeof firstAttempt !== "string") {
            yield { type: "refused", refusal: firstAttempt };
        }
        else {
            if (firstAttempt === "text") {
                yield { type: "text", offset: 0, text: "part" };
            }
            throw new LinkError("other", "silent", true);
        }
    }
    const entry = createEntry({
        name: "entry",
        partitions: 1,
        ownershipMap: () => ({ members: {}, owners: ["other"] }),
        refreshOwnership: async () => undefined,
        localOwner: () => undefined,
        peers: () => ({ call: attempt }) as unknown as Peers,
        timeline: createTimeline({ process: "entry", incarnation: 1, clock: systemClock }),
        clock: systemClock,
    });
    let refusal: Refusal | undefined;
    const call = plainModelCall({ offset: firstAttempt === "resumed" ? 4 : 0 });
    for await (const event of entry.serve(call, new AbortController().signal)) {
        refusal = event.type === "refused" ? event.refusal : refusal;
    }
    return refusal;
}
