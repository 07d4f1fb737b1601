/** Runs work every `interval` milliseconds, never twice at a time. Answers with what stops it. */
export function repeat(interval: number, work: () => Promise<void>): () => void {
    let isBusy = false;
    const timer = setInterval(() => {
        if (!isBusy) {
            isBusy = true;
            void work().finally(() => {
                isBusy = false;
            });
        }
    }, interval);
    return () => clearInterval(timer);
}
