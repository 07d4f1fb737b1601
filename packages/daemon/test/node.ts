import { createPolicy, createRandom, systemClock } from "@tamarackgauge/core";
import type { Call, ProgramStep, Refusal } from "@tamarackgauge/core";
import { TableError } from "@tamarackgauge/table";
import type { Table, Transaction } from "@tamarackgauge/table";
import { createTimeline } from "@tamarackgauge/timeline";
import type { EngineClient } from "@tamarackgauge/upstream";
import { createBudgets } from "../src/budgets.ts";
import { createCommitter } from "../src/committer.ts";
import { createDispatcher } from "../src/dispatcher.ts";
import { admit } from "../src/gate.ts";
import type { AdmissionConditions } from "../src/gate.ts";
import { createOwner } from "../src/owner.ts";
import { segmentRow } from "../src/rows.ts";
import type { Services } from "../src/services.ts";

/** Rows of an in-memory table, shared by the nodes of a test. */
export type Rows = Map<string, { readonly value: Buffer; readonly revision: string; }>;

/** Hooks around the transactions of one node. A promise that never resolves simulates a crash at that point. */
export interface TableHooks {
    before?: (transaction: Transaction) => Promise<void> | undefined;
    after?: (transaction: Transaction) => Promise<void> | undefined;
}

/** Result of a call: the text with its durability and seal, or the refusal. */
export interface Outcome {
    readonly text: string;
    readonly durability: string | undefined;
    readonly seal: string | undefined;
    readonly refusal: Refusal | undefined;
}

/** An owner with its journal in a shared table, without network. */
export interface TestNode extends AsyncDisposable {
    readonly owner: ReturnType<typeof createOwner>;
    readonly committer: Awaited<ReturnType<typeof createCommitter>>;
    /** Advances the node's clock, as a pause of the process does. */
    advanceClock(milliseconds: number): void;
    call(call: Call, signal?: AbortSignal): Promise<Outcome>;
}

/** Options of a node. */
export interface TestNodeOptions {
    readonly rows: Rows;
    readonly name: string;
    readonly hooks?: TableHooks;
    readonly services?: Pick<Services, "call">;
    readonly engines?: Readonly<Record<string, EngineClient["stream"]>>;
    readonly budgetTokens?: number;
    readonly programsAtOnce?: number;
    readonly turnLimit?: number;
    /** Receives the callback for the release of a program's cache; by default the callback is called at once. */
    readonly onRelease?: (done: () => void) => void;
    /** Overrides of the default conditions, which are a valid lease and a peer that reaches the store. */
    readonly admissionConditions?: Partial<AdmissionConditions>;
}

let revision = 0;

/** A table over shared rows, with the hooks of one node. */
export function createMemoryTable(rows: Rows, hooks: TableHooks = {}): Table {
    function apply({ checks, puts, deletes }: Transaction): boolean {
        if (!checks.every(({ key, revision: expectedRevision }) =>
            (rows.get(key)?.revision ?? "0") === expectedRevision
        )) {
            return false;
        }
        revision += 1;
        puts.forEach(({ key, value }) => rows.set(key, { value, revision: String(revision) }));
        deletes?.forEach(key => rows.delete(key));
        return true;
    }

    return {
        get: async key => {
            const row = rows.get(key);
            return row === undefined ? undefined : { key, ...row };
        },
        range: async (prefix, after = "") => {
            const keys = [...rows.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
            return { rows: keys.map(key => ({ key, ...rows.get(key)! })), more: false };
        },
        commit: async transaction => {
            await hooks.before?.(transaction);
            const applied = apply(transaction);
            await hooks.after?.(transaction);
            return { applied, revision: String(revision) };
        },
        lastSuccess: () => 0,
        [Symbol.asyncDispose]: async () => undefined,
    };
}

/** Whether a transaction writes a step of the given type to the journal. */
export function writesStep(transaction: Transaction, type: ProgramStep["type"]): boolean {
    return transaction.puts.some(({ key, value }) =>
        key.startsWith("journal/") && segmentRow.decode(value).some(step => step.type === type)
    );
}

/** Throws the error that a client gets when a write took effect but its reply was lost. */
export function throwLostReply(): never {
    throw new TableError("the reply was lost");
}

const member = { incarnation: "", address: "127.0.0.1", port: 1, dataCentre: "dc1", leaving: false };
const leaseTtlMs = 3_000;

/** Creates a node, which owns no partition until `assignPartition` is called. */
export async function createNode(options: TestNodeOptions): Promise<TestNode> {
    const { rows, name, engines = {} } = options;
    let clockOffsetMs = 0;
    const clock = { monotonic: () => performance.now() + clockOffsetMs, wall: () => Date.now() };
    const table = createMemoryTable(rows, options.hooks);
    const committer = await createCommitter({
        table,
        name,
        incarnation: `${name}-1`,
        clock,
        ttl: leaseTtlMs,
        renewal: 1_000,
        commitInterval: 0,
        onFenced: () => owner.abandon(),
    });
    const policy = createPolicy("attainedService", { random: createRandom(1), settings: {} });
    policy.setEngines(
        Object.keys(engines).map(engine => ({ name: engine, dataCentre: "dc1", models: ["model"], leaving: false })),
        clock.monotonic(),
    );
    const dispatcher = createDispatcher({ policy, clock, clientOf: engine => createFakeEngineClient(engines[engine]) });
    const { budgetTokens = 1_000_000, programsAtOnce = 100 } = options;
    const budgets = createBudgets({
        table: createMemoryTable(rows),
        name,
        incarnation: `${name}-1`,
        clock,
        limitsOf: () => ({ budgetTokens, programsAtOnce }),
    });
    // A peer reaches the store, so an owner without a valid lease must not serve.
    const peerHeartbeat = { storeAge: 0, configurationVersion: 1, ownershipVersion: 1, leaving: false, inFlight: {} };
    const owner = createOwner({
        name,
        table,
        committer,
        budgets,
        dispatcher,
        policy,
        services: {
            setVms: () => undefined,
            has: service => options.services !== undefined && service !== "missing",
            call: (service, call, signal) => options.services!.call(service, call, signal),
            [Symbol.asyncDispose]: async () => undefined,
        },
        cacheReleaser: {
            release: (_key, _engines, done) => options.onRelease === undefined ? done() : options.onRelease(done),
            reconcile: async () => undefined,
            [Symbol.asyncDispose]: async () => undefined,
        },
        timeline: createTimeline({ process: name, incarnation: 1, clock: systemClock }),
        clock,
        partitions: 1,
        sealKey: "seal-key-of-the-tests",
        turnLimit: options.turnLimit ?? 100,
        idleTimeout: 600_000,
        toolTimeout: 30_000,
        admit: atMostOnce =>
            admit({ leaseValid: committer.leaseValid(), ttl: leaseTtlMs, members: 2,
                heartbeats: [{ heartbeat: peerHeartbeat, age: 0 }], queuedBytes: 0, ...options.admissionConditions },
                atMostOnce),
        isParentActive: async () => false,
        tokensOf: text => Math.ceil(text.length / 4),
    });

    async function call(requestedCall: Call, signal = new AbortController().signal): Promise<Outcome> {
        let outcome: Outcome = { text: "", durability: undefined, seal: undefined, refusal: undefined };
        for await (const event of owner.serve(requestedCall, signal)) {
            outcome = event.type === "text"
                ? { ...outcome, text: outcome.text + event.text }
                : event.type === "done"
                ? { ...outcome, durability: event.completion.durability, seal: event.completion.seal }
                : { ...outcome, refusal: event.refusal };
        }
        return outcome;
    }

    return {
        owner,
        committer,
        advanceClock: milliseconds => {
            clockOffsetMs += milliseconds;
        },
        call,
        [Symbol.asyncDispose]: async () => {
            for (const component of [owner, budgets, dispatcher, committer]) {
                await component[Symbol.asyncDispose]();
            }
        },
    };
}

/** Assigns the only partition to a node. */
export function assignPartition(node: TestNode, name: string): void {
    node.owner.setMap({ members: { [name]: member }, owners: [name] });
}

/** Deletes the lease of a failed owner, as its successor does. */
export function removeLease(rows: Rows, name: string): void {
    rows.delete(`lease/${name}`);
}

function createFakeEngineClient(stream: EngineClient["stream"] | undefined): EngineClient | undefined {
    return stream === undefined ? undefined : {
        stream,
        release: async () => undefined,
        cachedKeys: async () => [],
        load: async () => ({ running: 0, waiting: 0 }),
        orders: async () => ({ fence: 0, models: undefined, loading: [], role: "" }),
        order: async () => true,
        events: async () => ({ events: [], bytes: 0 }),
        cache: async () => ({ held: new Map(), bytes: 0 }),
        [Symbol.asyncDispose]: async () => undefined,
    };
}

/** A tool call of program `p`. */
export function toolCall(request: string, overrides: Partial<Call> = {}): Call {
    return {
        plan: "plan",
        program: "p",
        request,
        atMostOnce: true,
        end: false,
        offset: 0,
        digest: `digest of ${request}`,
        target: { kind: "tool", service: "tool", path: "do", body: "{}" },
        ...overrides,
    };
}

/** A model call of program `p`. */
export function modelCall(request: string, overrides: Partial<Call> = {}): Call {
    const messages = [{ role: "user", content: request }];
    return { ...toolCall(request, overrides),
        target: overrides.target ?? { kind: "model", model: "model", messages, maxTokens: 10 } };
}

/** A point at which a test pauses execution: `reached` resolves when it is reached, `release` resumes execution. */
export function createPausePoint() {
    let markReached = () => {};
    let release = () => {};
    const reached = new Promise<void>(resolve => {
        markReached = resolve;
    });
    const released = new Promise<void>(resolve => {
        release = resolve;
    });
    let wasReached = false;
    /** Pauses the first caller; later callers are not paused. */
    const pause = async (): Promise<void> => {
        if (!wasReached) {
            wasReached = true;
            markReached();
            await released;
        }
    };
    return { reached, release, pause };
}
