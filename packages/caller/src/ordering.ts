/** Reorders the pieces of an answer, so that the caller receives each character exactly once (I5). */
export interface Ordering {
    /** Offset from the start of the answer up to which the text has been returned. */
    position(): number;
    /** Adds a piece and returns the text that now follows the position; undefined if too much text is buffered. */
    add(offset: number, text: string): string | undefined;
    /** Whether no buffered piece is waiting for missing text before it. */
    isComplete(): boolean;
}

/** Creates an ordering that starts at offset `start` and buffers at most `limit` characters of out-of-order text. */
export function createOrdering(start: number, limit: number): Ordering {
    let position = start;
    const earlyPieces = new Map<number, string>();

    function advance(offset: number, text: string): string {
        const newText = text.slice(Math.max(0, position - offset));
        position += newText.length;
        return newText;
    }

    function releaseEarly(): string {
        let result = "";
        for (const [offset, text] of [...earlyPieces].sort(([a], [b]) => a - b)) {
            if (offset > position) {
                break;
            }
            earlyPieces.delete(offset);
            result += advance(offset, text);
        }
        return result;
    }

    function hold(offset: number, text: string): string | undefined {
        if ((earlyPieces.get(offset)?.length ?? 0) < text.length) {
            earlyPieces.set(offset, text);
        }
        const held = [...earlyPieces.values()].reduce((sum, each) => sum + each.length, 0);
        return held > limit ? undefined : "";
    }

    return {
        position: () => position,
        add: (offset, text) => {
            if (offset > position) {
                return hold(offset, text);
            }
            const newText = advance(offset, text);
            return earlyPieces.size === 0 ? newText : newText + releaseEarly();
        },
        isComplete: () => earlyPieces.size === 0,
    };
}
