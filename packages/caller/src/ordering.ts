/** Puts the pieces of an answer in order, so that the caller gets each character once (I5). */
export interface Ordering {
    /** Characters given out so far, counted from the start of the answer. */
    position(): number;
    /** The text that follows the position once this piece is there; undefined if too much text would be held. */
    take(offset: number, text: string): string | undefined;
    /** No piece waits for an earlier one. */
    isComplete(): boolean;
}

/** Creates an ordering that starts at `start` and holds at most `limit` characters that came early. */
export function createOrdering(start: number, limit: number): Ordering {
    let position = start;
    const early = new Map<number, string>();

    function advance(offset: number, text: string): string {
        const fresh = text.slice(Math.max(0, position - offset));
        position += fresh.length;
        return fresh;
    }

    function takeEarly(): string {
        let result = "";
        for (const [offset, text] of [...early].sort(([a], [b]) => a - b)) {
            if (offset > position) {
                break;
            }
            early.delete(offset);
            result += advance(offset, text);
        }
        return result;
    }

    function hold(offset: number, text: string): string | undefined {
        if ((early.get(offset)?.length ?? 0) < text.length) {
            early.set(offset, text);
        }
        const held = [...early.values()].reduce((sum, each) => sum + each.length, 0);
        return held > limit ? undefined : "";
    }

    return {
        position: () => position,
        take: (offset, text) => {
            if (offset > position) {
                return hold(offset, text);
            }
            const fresh = advance(offset, text);
            return early.size === 0 ? fresh : fresh + takeEarly();
        },
        isComplete: () => early.size === 0,
    };
}
