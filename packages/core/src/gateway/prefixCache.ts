import type { PromptPart } from "./call.ts";

/**
 * What an engine is believed to keep of prompts, from the calls that this process sent to it. The parts used least
 * recently are forgotten first, as the engine does.
 */
export class PrefixCache {
    /** Tokens by part, in the order of their last use. */
    private readonly tokensByPart = new Map<string, number>();
    private totalTokens = 0;

    constructor(private readonly capacityTokens: number) {}

    /** Tokens of a prompt that are kept: those of its first parts up to the first one that is not. */
    matchedTokens(prompt: readonly PromptPart[]): number {
        let tokens = 0;
        for (const part of prompt) {
            if (!this.tokensByPart.has(part.id)) {
                break;
            }
            tokens += part.tokens;
        }
        return tokens;
    }

    /** Notes that the engine read a prompt. */
    record(prompt: readonly PromptPart[]): void {
        for (const { id, tokens } of prompt) {
            this.totalTokens += tokens - (this.tokensByPart.get(id) ?? 0);
            this.tokensByPart.delete(id);
            this.tokensByPart.set(id, tokens);
        }
        this.evict();
    }

    private evict(): void {
        for (const [id, tokens] of this.tokensByPart) {
            if (this.totalTokens <= this.capacityTokens) {
                return;
            }
            this.tokensByPart.delete(id);
            this.totalTokens -= tokens;
        }
    }
}
