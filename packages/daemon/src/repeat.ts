/** Runs work every `interval` milliseconds, never twice at a time. Answers with what stops it. */
export function repeat(intervalMs: number, task: () => Promise<void>): () => void {
    let isBusy = false;
    const timer = setInterval(() => {
        if (!isBusy) {
            isBusy = true;
            void task().finally(() => {
                isBusy = false;
            });
        }
    }, intervalMs);
    return () => clearInterval(timer);
}
