import type { PromptPart } from "./call.ts";

/** Longer ids are not remembered. */
const maxIdLength = 64;
/** Number of parts that are remembered. Parts of sound prompts are large, so that the tokens bound them first. */
const maxParts = 4_096;

/**
 * Model of an engine's prefix cache, derived from the calls that this process sent to it. The least recently used parts
 * are evicted first, as in the engine.
 */
export class PrefixCache {
    /** Tokens by part id, least recently used first. */
    private readonly tokensByPart = new Map<string, number>();
    private totalTokens = 0;

    constructor(private readonly capacityTokens: number) {}

    /** Number of tokens in the longest cached prefix of a prompt. */
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

    /** Records that the engine processed a prompt. Callers choose the ids and the number of parts, so both are bounded. */
    record(prompt: readonly PromptPart[]): void {
        for (const { id, tokens } of prompt.filter(part => part.tokens > 0 && part.id.length <= maxIdLength)) {
            this.totalTokens += tokens - (this.tokensByPart.get(id) ?? 0);
            this.tokensByPart.delete(id);
            this.tokensByPart.set(id, tokens);
        }
        this.evict();
    }

    /** Whether a part is cached. */
    has(id: string): boolean {
        return this.tokensByPart.has(id);
    }

    /** Forgets all parts. */
    clear(): void {
        this.tokensByPart.clear();
        this.totalTokens = 0;
    }

    private evict(): void {
        for (const [id, tokens] of this.tokensByPart) {
            if (this.totalTokens <= this.capacityTokens && this.tokensByPart.size <= maxParts) {
                return;
            }
            this.tokensByPart.delete(id);
            this.totalTokens -= tokens;
        }
    }
}
