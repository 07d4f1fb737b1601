/** Formats a duration: below 100 ms with one decimal unless it is whole, from 10 s in seconds. */
export function formatDuration(milliseconds: number): string {
    if (milliseconds >= 10_000) {
        return `${(milliseconds / 1000).toFixed(1)} s`;
    }
    return milliseconds >= 100 || Number.isInteger(milliseconds)
        ? `${Math.round(milliseconds)} ms`
        : `${milliseconds.toFixed(1)} ms`;
}

/** Formats a wall-clock time in UTC with milliseconds. */
export function formatTime(milliseconds: number): string {
    const date = new Date(milliseconds);
    return Number.isNaN(date.getTime()) ? String(milliseconds) : date.toISOString();
}

/** Escapes control characters and line separators, so that data cannot control the terminal that shows it. */
export function escapeControlCharacters(text: string): string {
    return text.replace(/[\p{Cc}\p{Cf}\u2028\u2029]/gu,
        character => `\\u${character.codePointAt(0)!.toString(16).padStart(4, "0")}`);
}
