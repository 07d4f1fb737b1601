/** A duration for readers: milliseconds with one decimal below 100 ms, seconds from 10 s. */
export function formatDuration(milliseconds: number): string {
    if (milliseconds >= 10_000) {
        return `${(milliseconds / 1000).toFixed(1)} s`;
    }
    return milliseconds >= 100 || Number.isInteger(milliseconds)
        ? `${Math.round(milliseconds)} ms`
        : `${milliseconds.toFixed(1)} ms`;
}

/** A wall-clock time for readers, in UTC with milliseconds. */
export function formatTime(milliseconds: number): string {
    const date = new Date(milliseconds);
    return Number.isNaN(date.getTime()) ? String(milliseconds) : date.toISOString();
}

/** Text on one line without control characters, which could command the reader's terminal. */
export function escapeControlCharacters(text: string): string {
    return text.replace(/[\p{Cc}\p{Cf}\u2028\u2029]/gu,
        character => `\\u${character.codePointAt(0)!.toString(16).padStart(4, "0")}`);
}
