// Measures the slopes from which docs/CAPACITY.md is calculated: bytes and processor time per program, record, member,
// partition and plan. Run on an idle machine: node --expose-gc --import tsx packages/daemon/bench/slopes.ts
import { applyChange, applyLedgerStep, applyOwnershipStep, createConfiguration, createConfigurationIndex,
    diffConfiguration, emptyLedger, initialOwnership, misplacedPartitions, openProgram,
    watchedMembers } from "@tamarackgauge/core";
import type { Configuration, Ledger, Member, Ownership, ProgramStep } from "@tamarackgauge/core";
import type { Table } from "@tamarackgauge/table";
import { readEvents } from "@tamarackgauge/upstream";
import { createBroadcast } from "../src/broadcast.ts";
import { createCommitter } from "../src/committer.ts";
import { applySteps, createProgramState } from "../src/partition.ts";
import { ledgerRow, ownershipRow, segmentRow } from "../src/rows.ts";

/** Processor time of this process in milliseconds. */
function cpuTimeMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1000;
}

function heapBytes(): number {
    (globalThis as { gc?: () => void; }).gc?.();
    return process.memoryUsage().heapUsed;
}

function printTable(title: string, rows: readonly (readonly (string | number)[])[], columns: readonly string[]): void {
    console.log(`\n${title}\n`);
    console.log(`| ${columns.join(" | ")} |`);
    console.log(`| ${columns.map(() => "---").join(" | ")} |`);
    for (const row of rows) {
        console.log(`| ${row.map(cell => typeof cell === "number" ? cell.toLocaleString("en") : cell).join(" | ")} |`);
    }
}

function roundTo(value: number, digits = 1): number {
    return Number(value.toFixed(digits));
}

function measurePrograms(): void {
    const rows = [0, 1, 10].flatMap(turns =>
        [1_000, 4_000, 16_000].map(count => {
            const before = heapBytes();
            const states = Array.from({ length: count }, (_, index) => {
                const state = createProgramState(openProgram(`plan/${index}`, "plan", undefined), true, 0);
                for (let turn = 0; turn < turns; turn += 1) {
                    applySteps(state, [turnStep(index, turn)]);
                }
                return state;
            });
            const bytes = (heapBytes() - before) / states.length;
            return [turns, count, Math.round(bytes)];
        })
    );
    printTable("Memory of a program at its owner; a turn has 500 characters of input and 500 of output", rows, [
        "turns",
        "programs",
        "bytes per program",
    ]);
}

function turnStep(program: number, sequence: number): ProgramStep {
    return {
        type: "turn",
        program: `plan/${program}`,
        request: `request-${program}-${sequence}`,
        sequence,
        digest: "d".repeat(64),
        messages: [{ role: "user", content: `${program} ${sequence} ${"q".repeat(490)}` }],
        answer: {
            text: `${sequence} ${program} ${"a".repeat(490)}`,
            reason: "stop",
            status: 200,
            promptTokens: 125,
            cachedTokens: 0,
            tokens: 125,
            upstream: "engine",
        },
    };
}

async function measureCommits(): Promise<void> {
    const rows = [];
    for (const batch of [1, 10, 100]) {
        const { table, counts } = createCountingTable();
        const committer = await createCommitter({
            table,
            name: "d",
            incarnation: "1",
            clock: { monotonic: () => performance.now(), wall: Date.now },
            ttl: 60_000,
            renewal: 60_000,
            commitInterval: 0,
            onFenced: () => undefined,
        });
        const rounds = Math.round(2_000 / batch);
        const before = cpuTimeMs();
        for (let number = 0; number < rounds; number += 1) {
            await Promise.all(
                Array.from({ length: batch }, (_, index) => committer.append(index % 2, [turnStep(index, number)])),
            );
        }
        const cpuMs = cpuTimeMs() - before;
        const records = rounds * batch;
        rows.push([batch, counts.transactions, roundTo(cpuMs * 1000 / records), roundTo(counts.bytes / records)]);
        await committer[Symbol.asyncDispose]();
    }
    printTable("Group commit, without the table service's client", rows, [
        "records per batch",
        "transactions",
        "processor time per record (µs)",
        "bytes per record",
    ]);
}

function createCountingTable() {
    const counts = { transactions: 0, bytes: 0 };
    let revision = 0;
    const table: Table = {
        get: async () => undefined,
        range: async () => ({ rows: [], more: false }),
        commit: async ({ puts }) => {
            counts.transactions += 1;
            counts.bytes += puts.reduce((sum, { value }) => sum + value.length, 0);
            revision += 1;
            return { applied: true, revision: String(revision) };
        },
        lastSuccess: () => 0,
        [Symbol.asyncDispose]: async () => undefined,
    };
    return { table, counts };
}

function measureOwnership(): void {
    const rows = [[12, 64], [60, 120], [380, 760]].map(([members = 0, partitions = 0]) => {
        const map = createSettledMap(members, partitions);
        const removalMs = medianMs(() => applyOwnershipStep(map, { type: "remove", name: "d0" }));
        const leavingMs = medianMs(() =>
            misplacedPartitions(applyOwnershipStep(map, { type: "leave", name: "d1" }), "d1")
        );
        const watchMs = medianMs(() => watchedMembers(map, "d1", 3));
        return [members, partitions, ownershipRow.encode(map).length, removalMs, leavingMs, watchMs];
    });
    printTable("Ownership map", rows, [
        "daemons",
        "partitions",
        "bytes of the row",
        "takeover (ms)",
        "leaving (ms)",
        "leases to watch, once per map version (ms)",
    ]);
}

function createSettledMap(members: number, partitions: number): Ownership {
    const member: Member = { incarnation: "0123abcd-1", address: "10.0.0.1", port: 8081, dataCentre: "dc1",
        leaving: false };
    let map = initialOwnership(partitions, "d0", member);
    for (let index = 1; index < members; index += 1) {
        map = applyOwnershipStep(map, { type: "join", name: `d${index}`, member });
    }
    for (const [to, moved] of misplacedPartitions(map, "d0")) {
        map = applyOwnershipStep(map, { type: "handOver", from: "d0", partitions: moved, to });
    }
    return map;
}

/** Median duration of five runs in milliseconds. */
function medianMs(action: () => unknown): number {
    const times = Array.from({ length: 5 }, () => {
        const started = performance.now();
        action();
        return performance.now() - started;
    });
    return roundTo(times.sort((left, right) => left - right)[2] ?? 0, 2);
}

function measureConfigurations(): void {
    const rows = [1_000, 4_000, 12_000].map(count => {
        const before = heapBytes();
        const configuration = configurationOf(count);
        const index = createConfigurationIndex(configuration);
        const bytes = (heapBytes() - before) / count;
        const plans = configuration.plans.map((plan, index) => index === 7 ? { ...plan, keys: [] } : plan);
        const next = createConfiguration(2, { plans, allowances: configuration.allowances });
        const change = diffConfiguration(configuration, next);
        return [
            index.planByKeyHash("") === undefined ? count : 0,
            Math.round(bytes),
            Math.round(JSON.stringify(configuration).length / count),
            JSON.stringify(change).length,
            medianMs(() => applyChange(configuration, change)),
            medianMs(() => createConfigurationIndex(configuration)),
        ];
    });
    printTable("Configuration", rows, [
        "plans",
        "bytes per plan in memory",
        "bytes per plan as JSON",
        "bytes of a change",
        "applying a change (ms)",
        "index (ms)",
    ]);
}

function configurationOf(count: number): Configuration {
    const models = ["model-a", "model-b", "model-c"];
    return createConfiguration(1, {
        plans: Array.from({ length: count }, (_, index) => ({
            name: `plan-${index}`,
            keys: [String(index).padStart(64, "0")],
        })),
        allowances: Array.from({ length: count }, (_, index) => ({
            plan: `plan-${index}`,
            models,
            services: ["deposits"],
            budgetTokens: 1_000_000,
            programsAtOnce: 100,
        })),
    });
}

function measureLedgers(): void {
    const rows = [12, 60, 380].map(count => {
        let ledger: Ledger = emptyLedger;
        const step = (index: number, serial: number) => ({
            type: "update" as const,
            holder: `d${index}`,
            incarnation: "0123abcd-1",
            serial,
            used: 10,
            tokens: 1_000,
            slots: 3,
            limits: { budgetTokens: 1_000_000_000, programsAtOnce: 10_000 },
        });
        for (let index = 0; index < count; index += 1) {
            ledger = applyLedgerStep(ledger, step(index, 1));
        }
        return [count, ledgerRow.encode(ledger).length, medianMs(() => applyLedgerStep(ledger, step(0, 2)))];
    });
    printTable("Ledger of a plan", rows, ["daemons with an allotment", "bytes of the row", "update (ms)"]);
}

async function measureTokenRelay(): Promise<void> {
    const rows = [];
    for (const streams of [1, 10, 100]) {
        const perStream = 40_000 / streams;
        const before = cpuTimeMs();
        await Promise.all(Array.from({ length: streams }, () => relay(perStream)));
        rows.push([streams, roundTo((cpuTimeMs() - before) * 1000 / 40_000, 2)]);
    }
    printTable("A token at its owner: read from the engine's stream, appended, read by the entry", rows, [
        "streams",
        "processor time per token (µs)",
    ]);
}

/** Relays one stream through the components that take most of an owner's time, without sockets. */
async function relay(count: number): Promise<void> {
    const broadcast = createBroadcast();
    const reader = (async () => {
        for await (const event of broadcast.read(0, new AbortController().signal)) {
            if (event.type !== "text") {
                return;
            }
        }
    })();
    for await (const event of readEvents(engineStream(count))) {
        const { choices } = JSON.parse(event.data) as { choices: { delta: { content: string; }; }[]; };
        broadcast.append(choices[0]?.delta.content ?? "", 1);
    }
    const completion = {
        reason: "stop",
        status: 200,
        promptTokens: 0,
        cachedTokens: 0,
        tokens: count,
        durability: "stored",
        sequence: 0,
        upstream: "e",
    } as const;
    broadcast.finish({ type: "done", completion });
    await reader;
}

async function* engineStream(count: number): AsyncGenerator<Uint8Array> {
    const chunk = Buffer.from(`data: ${
        JSON.stringify({
            id: "chatcmpl-1",
            object: "chat.completion.chunk",
            model: "m",
            choices: [{ index: 0, delta: { content: "wor " }, finish_reason: null }],
        })
    }\n\n`);
    for (let index = 0; index < count; index += 1) {
        yield chunk;
    }
}

function measureJournalReading(): void {
    const rows = [100, 1_000, 5_000].map(count => {
        const steps = Array.from({ length: count }, (_, index) => turnStep(index % 50, Math.floor(index / 50)));
        const encoded = segmentRow.encode(steps);
        return [count, encoded.length, roundTo(medianMs(() => segmentRow.decode(encoded)) * 1000 / count)];
    });
    printTable("Reading a journal", rows, ["turns", "bytes", "processor time per turn (µs)"]);
}

console.log(`Node.js ${process.version}, the reader must check the load of the machine`);
measurePrograms();
await measureCommits();
measureOwnership();
measureConfigurations();
measureLedgers();
await measureTokenRelay();
measureJournalReading();
