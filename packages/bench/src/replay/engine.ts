import type { Header } from "./file.ts";

interface Sequence {
    readonly id: string;
    readonly priority: number;
    /** Prompt tokens still to be computed, and tokens still to be generated. */
    remainingPromptTokens: number;
    remainingOutputTokens: number;
    hasFirstToken: boolean;
}

/** What a step produced. */
export interface ProducedToken {
    readonly id: string;
    readonly isFirst: boolean;
    readonly done: boolean;
}

/** A fake engine: it batches continuously and serves by priority; time passes outside, a step at a time. */
export interface FakeEngine {
    add(id: string, priority: number, promptTokens: number, outputTokens: number): void;
    /** Begins a step and gives its length in ms; undefined when idle or in a step. */
    beginStep(): number | undefined;
    /** Ends the step. */
    endStep(): readonly ProducedToken[];
}

/** Creates an idle fake engine. */
export function createFakeEngine({ batch, stepMs, sequenceMs, prefillRate }: Header): FakeEngine {
    let running: Sequence[] = [];
    const waiting: Sequence[] = [];
    let stepInProgress = false;

    function beginStep(): number | undefined {
        if (stepInProgress) {
            return undefined;
        }
        running.push(...waiting.splice(0, batch - running.length));
        if (running.length === 0) {
            return undefined;
        }
        stepInProgress = true;
        const promptTokens = running.reduce((sum, sequence) => sum + sequence.remainingPromptTokens, 0);
        return stepMs + sequenceMs * running.length + 1_000 * promptTokens / prefillRate;
    }

    function endStep(): readonly ProducedToken[] {
        stepInProgress = false;
        const produced = running.map(sequence => {
            const isFirst = !sequence.hasFirstToken;
            sequence.hasFirstToken = true;
            sequence.remainingPromptTokens = 0;
            sequence.remainingOutputTokens -= 1;
            return { id: sequence.id, isFirst, done: sequence.remainingOutputTokens === 0 };
        });
        running = running.filter(({ remainingOutputTokens }) => remainingOutputTokens > 0);
        return produced;
    }

    return {
        add(id, priority, promptTokens, outputTokens) {
            const index = waiting.findIndex(other => other.priority > priority);
            waiting.splice(index < 0 ? waiting.length : index, 0, { id, priority, remainingPromptTokens: promptTokens,
                remainingOutputTokens: outputTokens, hasFirstToken: false });
        },
        beginStep,
        endStep,
    };
}
