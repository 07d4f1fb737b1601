import type { Header } from "./file.ts";

interface Sequence {
    readonly id: string;
    readonly priority: number;
    /** Numbers of prompt tokens still to be computed and of tokens still to be generated. */
    remainingPromptTokens: number;
    remainingOutputTokens: number;
    hasFirstToken: boolean;
}

/** A token that a step produced for a sequence. */
export interface ProducedToken {
    readonly id: string;
    readonly isFirst: boolean;
    readonly done: boolean;
}

/** A fake engine with continuous batching by priority. The caller advances the time, one step at a time. */
export interface FakeEngine {
    add(id: string, priority: number, promptTokens: number, outputTokens: number): void;
    /** Begins a step and returns its duration in ms; undefined if the engine is idle or already in a step. */
    beginStep(): number | undefined;
    /** Ends the step and returns the tokens that it produced. */
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
