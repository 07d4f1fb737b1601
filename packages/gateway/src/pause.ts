/** Resolves after some milliseconds. */
export function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));
}
