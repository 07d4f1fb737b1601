/** The data of each server-sent event of a byte stream. */
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
