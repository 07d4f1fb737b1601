import type { Header } from "./file.ts";

interface Sequence {
    readonly id: string;
    readonly priority: number;
    /** Prompt tokens still to be computed, and tokens still to be generated. */
    prompt: number;
    output: number;
    started: boolean;
}

/** What a step produced. */
export interface Produced {
    readonly id: string;
    readonly first: boolean;
    readonly done: boolean;
}

/** A fake engine: it batches continuously and serves by priority; time passes outside, a step at a time. */
export interface FakeEngine {
    add(id: string, priority: number, promptTokens: number, outputTokens: number): void;
    /** Begins a step and gives its length in ms; undefined when idle or in a step. */
    begin(): number | undefined;
    /** Ends the step. */
    end(): readonly Produced[];
}

/** Creates an idle fake engine. */
export function createFakeEngine({ batch, stepMs, sequenceMs, prefillRate }: Header): FakeEngine {
    let running: Sequence[] = [];
    const waiting: Sequence[] = [];
    let stepping = false;

    function begin(): number | undefined {
        if (stepping) {
            return undefined;
        }
        running.push(...waiting.splice(0, batch - running.length));
        if (running.length === 0) {
            return undefined;
        }
        stepping = true;
        const prompt = running.reduce((sum, sequence) => sum + sequence.prompt, 0);
        return stepMs + sequenceMs * running.length + 1_000 * prompt / prefillRate;
    }

    function end(): readonly Produced[] {
        stepping = false;
        const produced = running.map(sequence => {
            const first = !sequence.started;
            sequence.started = true;
            sequence.prompt = 0;
            sequence.output -= 1;
            return { id: sequence.id, first, done: sequence.output === 0 };
        });
        running = running.filter(({ output }) => output > 0);
        return produced;
    }

    return {
        add(id, priority, prompt, output) {
            const index = waiting.findIndex(other => other.priority > priority);
            waiting.splice(index < 0 ? waiting.length : index, 0, { id, priority, prompt, output, started: false });
        },
        begin,
        end,
    };
}
