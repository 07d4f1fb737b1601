/** Performance model of a simulated engine. */
export interface EngineModel {
    /** Maximum number of sequences in the batch. */
    readonly maxBatchSize: number;
    /** Duration of a step: a fixed part, a part per sequence in the batch, and a part per prompt token computed. */
    readonly stepMs: number;
    readonly sequenceMs: number;
    readonly prefillMsPerToken: number;
    /** Maximum number of prompt tokens computed in a step. */
    readonly prefillChunkTokens: number;
    /** Capacity of the prefix cache; the least recently used prefixes are evicted first. */
    readonly cacheCapacityTokens: number;
}

/** A present-day accelerator: 24 sequences, 16,700 prompt tokens/s, 57 steps/s with a full batch. */
export const defaultEngineModel: EngineModel = {
    maxBatchSize: 24,
    stepMs: 15,
    sequenceMs: 0.1,
    prefillMsPerToken: 0.06,
    prefillChunkTokens: 512,
    cacheCapacityTokens: 600_000,
};

/** A request to a simulated engine, which will generate `outputTokens`. */
export interface EngineRequest {
    readonly id: string;
    readonly program: string;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly priority: number;
}

interface Sequence extends EngineRequest {
    cachedTokens: number;
    remainingPromptTokens: number;
    generatedTokens: number;
}

/** Progress of a request in a step. */
export interface StepEvent {
    readonly kind: "first" | "token" | "done";
    readonly id: string;
    readonly cachedTokens: number;
    readonly tokens: number;
}

/** Simulated engine with continuous batching, priorities and a prefix cache; advances one step at a time. */
export class FakeEngine {
    /** Slowdown factor; 1 is normal speed. */
    slowdown = 1;
    readonly evicted: { program: string; tokens: number; }[] = [];
    private readonly cache = new Map<string, number>();
    private totalCachedTokens = 0;
    private batch: Sequence[] = [];
    private queue: Sequence[] = [];
    private decoding: Sequence[] = [];

    constructor(readonly name: string, private readonly model: EngineModel) {}

    get running(): number {
        return this.batch.length;
    }

    get waiting(): number {
        return this.queue.length;
    }

    get cachedTokens(): number {
        return this.totalCachedTokens;
    }

    submit(request: EngineRequest): void {
        const sequence = { ...request, cachedTokens: 0, remainingPromptTokens: 0, generatedTokens: 0 };
        let index = this.queue.length;
        while (index > 0 && this.queue[index - 1]!.priority > request.priority) {
            index -= 1;
        }
        this.queue.splice(index, 0, sequence);
    }

    cancel(id: string): void {
        this.queue = this.queue.filter(sequence => sequence.id !== id);
        this.batch = this.batch.filter(sequence => sequence.id !== id);
    }

    release(program: string): void {
        this.totalCachedTokens -= this.cache.get(program) ?? 0;
        this.cache.delete(program);
    }

    /** Starts a step and returns its duration, or undefined when there is no work. */
    beginStep(): number | undefined {
        while (this.batch.length < this.model.maxBatchSize && this.queue.length > 0) {
            this.batch.push(this.admit(this.queue.shift()!));
        }
        if (this.batch.length === 0) {
            return undefined;
        }
        let remainingChunk = this.model.prefillChunkTokens;
        for (const sequence of this.batch.slice().sort((left, right) => left.priority - right.priority)) {
            const computedTokens = Math.min(remainingChunk, sequence.remainingPromptTokens);
            sequence.remainingPromptTokens -= computedTokens;
            remainingChunk -= computedTokens;
        }
        this.decoding = this.batch.filter(sequence => sequence.remainingPromptTokens === 0);
        const { stepMs, sequenceMs, prefillMsPerToken, prefillChunkTokens } = this.model;
        return this.slowdown *
            (stepMs + sequenceMs * this.batch.length + prefillMsPerToken * (prefillChunkTokens - remainingChunk));
    }

    /** Ends the current step and returns the progress of its requests. */
    endStep(): StepEvent[] {
        const events: StepEvent[] = [];
        for (const sequence of this.decoding) {
            if (!this.batch.includes(sequence)) {
                continue;
            }
            sequence.generatedTokens += 1;
            const done = sequence.generatedTokens >= sequence.outputTokens;
            if (sequence.generatedTokens === 1) {
                events.push({ kind: "first", id: sequence.id, cachedTokens: sequence.cachedTokens, tokens: 1 });
            }
            events.push({ kind: done ? "done" : "token", id: sequence.id, cachedTokens: sequence.cachedTokens,
                tokens: sequence.generatedTokens });
            if (done) {
                this.batch.splice(this.batch.indexOf(sequence), 1);
                this.store(sequence.program, sequence.promptTokens + sequence.outputTokens);
            }
        }
        return events;
    }

    private admit(sequence: Sequence): Sequence {
        sequence.cachedTokens = Math.min(this.cache.get(sequence.program) ?? 0, sequence.promptTokens - 1);
        sequence.remainingPromptTokens = sequence.promptTokens - sequence.cachedTokens;
        return sequence;
    }

    private store(program: string, tokens: number): void {
        this.release(program);
        this.cache.set(program, tokens);
        this.totalCachedTokens += tokens;
        for (const [oldest, size] of this.cache) {
            if (this.totalCachedTokens <= this.model.cacheCapacityTokens || oldest === program) {
                return;
            }
            this.release(oldest);
            this.evicted.push({ program: oldest, tokens: size });
        }
    }
}
