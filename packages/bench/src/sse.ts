/** Yields the data of each server-sent event in a byte stream. Supports one `data` line per event and LF line ends. */
export async function* readEventData(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
    const decoder = new TextDecoder();
    let buffered = "";
    for await (const bytes of body) {
        buffered += decoder.decode(bytes, { stream: true });
        const blocks = buffered.split("\n\n");
        buffered = blocks.pop() ?? "";
        for (const block of blocks) {
            const start = block.startsWith("data: ") ? 0 : block.indexOf("\ndata: ") + 1;
            if (start > 0 || block.startsWith("data: ")) {
                yield block.slice(start + 6);
            }
        }
    }
}
