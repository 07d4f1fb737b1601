/** Puts the pieces of an answer in order, so that the caller gets each character once (I5). */
export interface Ordering {
    /** Characters given out so far, counted from the start of the answer. */
    position(): number;
    /** The text that follows the position once this piece is there; undefined if too much text would be held. */
    add(offset: number, text: string): string | undefined;
    /** No piece waits for an earlier one. */
    isComplete(): boolean;
}

/** Creates an ordering that starts at `start` and holds at most `limit` characters that came early. */
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
