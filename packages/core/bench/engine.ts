/** How a fake engine computes; times in milliseconds. */
export interface EngineModel {
    /** Most sequences in the batch. */
    readonly slots: number;
    /** Fixed time of a step, time per sequence in the batch and per prompt token computed. */
    readonly stepMs: number;
    readonly sequenceMs: number;
    readonly prefillMs: number;
    /** Most prompt tokens computed in a step. */
    readonly chunk: number;
    /** Tokens of prefixes kept; the least recently used go first. */
    readonly cacheTokens: number;
}

/** A model of an accelerator of today's size: 24 sequences, 16,700 prompt tokens/s, 57 steps/s with a full batch. */
export const usualModel: EngineModel = {
    slots: 24,
    stepMs: 15,
    sequenceMs: 0.1,
    prefillMs: 0.06,
    chunk: 512,
    cacheTokens: 600_000,
};

/** A request as the fake engine sees it; `output` is what it will generate. */
export interface EngineRequest {
    readonly id: string;
    readonly program: string;
    readonly prompt: number;
    readonly output: number;
    readonly priority: number;
}

interface Sequence extends EngineRequest {
    cached: number;
    left: number;
    produced: number;
}

/** What happened to a request in a step. */
export interface StepEvent {
    readonly kind: "first" | "token" | "done";
    readonly id: string;
    readonly cached: number;
    readonly tokens: number;
}

/** Continuous batching with priorities and a prefix cache, advanced one step at a time. */
export class FakeEngine {
    /** Slowdown factor; 1 is the usual speed. */
    slowness = 1;
    readonly evicted: { program: string; tokens: number; }[] = [];
    private readonly cache = new Map<string, number>();
    private held = 0;
    private batch: Sequence[] = [];
    private queue: Sequence[] = [];
    private stepping: Sequence[] = [];

    constructor(readonly name: string, private readonly model: EngineModel) {}

    get running(): number {
        return this.batch.length;
    }

    get waiting(): number {
        return this.queue.length;
    }

    get cachedTokens(): number {
        return this.held;
    }

    submit(request: EngineRequest): void {
        const sequence = { ...request, cached: 0, left: 0, produced: 0 };
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
        this.held -= this.cache.get(program) ?? 0;
        this.cache.delete(program);
    }

    /** Begins a step and returns its duration, or undefined when there is no work. */
    begin(): number | undefined {
        while (this.batch.length < this.model.slots && this.queue.length > 0) {
            this.batch.push(this.admit(this.queue.shift()!));
        }
        if (this.batch.length === 0) {
            return undefined;
        }
        let budget = this.model.chunk;
        for (const sequence of this.batch.slice().sort((left, right) => left.priority - right.priority)) {
            const part = Math.min(budget, sequence.left);
            sequence.left -= part;
            budget -= part;
        }
        this.stepping = this.batch.filter(sequence => sequence.left === 0);
        const { stepMs, sequenceMs, prefillMs, chunk } = this.model;
        return this.slowness * (stepMs + sequenceMs * this.batch.length + prefillMs * (chunk - budget));
    }

    /** Ends the step begun before and returns what it produced. */
    end(): StepEvent[] {
        const events: StepEvent[] = [];
        for (const sequence of this.stepping) {
            if (!this.batch.includes(sequence)) {
                continue;
            }
            sequence.produced += 1;
            const done = sequence.produced >= sequence.output;
            if (sequence.produced === 1) {
                events.push({ kind: "first", id: sequence.id, cached: sequence.cached, tokens: 1 });
            }
            events.push({ kind: done ? "done" : "token", id: sequence.id, cached: sequence.cached,
                tokens: sequence.produced });
            if (done) {
                this.batch.splice(this.batch.indexOf(sequence), 1);
                this.store(sequence.program, sequence.prompt + sequence.output);
            }
        }
        return events;
    }

    private admit(sequence: Sequence): Sequence {
        sequence.cached = Math.min(this.cache.get(sequence.program) ?? 0, sequence.prompt - 1);
        sequence.left = sequence.prompt - sequence.cached;
        return sequence;
    }

    private store(program: string, tokens: number): void {
        this.release(program);
        this.cache.set(program, tokens);
        this.held += tokens;
        for (const [oldest, size] of this.cache) {
            if (this.held <= this.model.cacheTokens || oldest === program) {
                return;
            }
            this.release(oldest);
            this.evicted.push({ program: oldest, tokens: size });
        }
    }
}
