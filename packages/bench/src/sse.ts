/** The data of each server-sent event of a byte stream. */
export async function* readData(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
    const decoder = new TextDecoder();
    let rest = "";
    for await (const bytes of body) {
        rest += decoder.decode(bytes, { stream: true });
        const blocks = rest.split("\n\n");
        rest = blocks.pop() ?? "";
        for (const block of blocks) {
            const start = block.startsWith("data: ") ? 0 : block.indexOf("\ndata: ") + 1;
            if (start > 0 || block.startsWith("data: ")) {
                yield block.slice(start + 6);
            }
        }
    }
}
