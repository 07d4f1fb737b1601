/** Runs a task periodically, skipping runs while the previous one is in progress. Returns a function that stops it. */
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
