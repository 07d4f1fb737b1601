/** A body that is stored as it comes. */
export interface BodyBuffer {
    /** Bytes of memory that storing a further chunk takes. */
    costOf(chunk: Buffer): number;
    append(chunk: Buffer): void;
    length(): number;
    toBuffer(): Buffer;
}

const kibibyte = 1_024;
/** A chunk of this size is stored as it is; smaller ones are copied, as each Buffer takes some hundred bytes beside its content. */
const minOwnChunkBytes = 8 * kibibyte;
const firstBlockBytes = kibibyte;
const maxBlockBytes = 64 * kibibyte;

/** Creates a body without bytes. */
export function createBodyBuffer(): BodyBuffer {
    const parts: Buffer[] = [];
    let block = Buffer.alloc(0);
    /** Bytes of the block that are in use. */
    let used = 0;
    let length = 0;

    const isStoredAsIs = (chunk: Buffer) => chunk.length >= minOwnChunkBytes;

    function nextBlockBytes(chunk: Buffer): number {
        const doubled = Math.min(maxBlockBytes, Math.max(firstBlockBytes, block.length * 2));
        return Math.max(doubled, chunk.length);
    }

    function closeBlock(): void {
        if (used > 0) {
            parts.push(block.subarray(0, used));
        }
    }

    return {
        costOf(chunk) {
            if (isStoredAsIs(chunk)) {
                return chunk.length;
            }
            return used + chunk.length <= block.length ? 0 : nextBlockBytes(chunk);
        },
        append(chunk) {
            length += chunk.length;
            if (isStoredAsIs(chunk)) {
                closeBlock();
                parts.push(chunk);
                block = block.subarray(used);
                used = 0;
                return;
            }
            if (used + chunk.length > block.length) {
                closeBlock();
                block = Buffer.allocUnsafeSlow(nextBlockBytes(chunk));
                used = 0;
            }
            chunk.copy(block, used);
            used += chunk.length;
        },
        length: () => length,
        toBuffer() {
            const all = used > 0 ? [...parts, block.subarray(0, used)] : parts;
            return all.length === 1 ? all[0]! : Buffer.concat(all, length);
        },
    };
}
