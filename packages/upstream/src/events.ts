/** One server-sent event. */
export interface ServerEvent {
    readonly id: string | undefined;
    readonly data: string;
}

/** Maximum size of an event, so that a faulty peer cannot exhaust the memory. */
const maxEventCharacters = 1_000_000;

/** Splits a byte stream into server-sent events. */
export async function* readEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<ServerEvent> {
    const decoder = new TextDecoder();
    let buffered = "";
    for await (const bytes of body) {
        buffered += decoder.decode(bytes, { stream: true });
        const blocks = buffered.split(/\r?\n\r?\n/);
        buffered = blocks.pop() ?? "";
        if (buffered.length > maxEventCharacters) {
            throw new Error("a server-sent event is too long");
        }
        for (const block of blocks) {
            const event = parseBlock(block);
            if (event !== undefined) {
                yield event;
            }
        }
    }
}

function parseBlock(block: string): ServerEvent | undefined {
    const data: string[] = [];
    let id: string | undefined;
    for (const line of block.split(/\r?\n/)) {
        if (line.startsWith("data:")) {
            data.push(line.slice(line[5] === " " ? 6 : 5));
        }
        else if (line.startsWith("id:")) {
            id = line.slice(3).trim();
        }
    }
    return data.length === 0 ? undefined : { id, data: data.join("\n") };
}
