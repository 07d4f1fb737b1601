import type { PromptPart } from "./call.ts";

/**
 * What an engine is believed to keep of prompts, from the calls that this process sent to it. The parts used least
 * recently are forgotten first, as the engine does.
 */
export class PrefixCache {
    /** Tokens by part, in the order of their last use. */
    private readonly parts = new Map<string, number>();
    private total = 0;

    constructor(private readonly capacity: number) {}

    /** Tokens of a prompt that are kept: those of its first parts up to the first one that is not. */
    matched(prompt: readonly PromptPart[]): number {
        let tokens = 0;
        for (const part of prompt) {
            if (!this.parts.has(part.id)) {
                break;
            }
            tokens += part.tokens;
        }
        return tokens;
    }

    /** Notes that the engine read a prompt. */
    use(prompt: readonly PromptPart[]): void {
        for (const { id, tokens } of prompt) {
            this.total += tokens - (this.parts.get(id) ?? 0);
            this.parts.delete(id);
            this.parts.set(id, tokens);
        }
        this.evict();
    }

    private evict(): void {
        for (const [id, tokens] of this.parts) {
            if (this.total <= this.capacity) {
                return;
            }
            this.parts.delete(id);
            this.total -= tokens;
        }
    }
}
