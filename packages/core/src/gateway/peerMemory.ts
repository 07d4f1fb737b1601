const mebibyte = 1_024 * 1_024;

/** Bytes that the unfinished messages of all links may hold: two of the greatest messages. */
export const maxUnfinishedBytes = 8 * mebibyte;
/** Memory of each piece of an unfinished message beside its content, in bytes. */
const pieceBytes = 256;
/** A message that began a shorter time ago is not ended for others while an older one is unfinished. */
const minAgeMs = 250;

/** What a link holds of a message that has not ended. Times are in milliseconds on the monotonic clock. */
export interface UnfinishedMessage {
    readonly bytes: number;
    readonly since: number;
}

/** Memory that a further piece of an unfinished message takes. */
export function pieceCost(bytes: number): number {
    return bytes + pieceBytes;
}

/**
 * Chooses the link to be closed, as all unfinished messages together hold too much: the one with the most bytes among those
 * that have been unfinished for long, or among all.
 */
export function chooseLink<Message extends UnfinishedMessage>(messages: readonly Message[], now: number):
    | Message
    | undefined {
    const old = messages.filter(({ since }) => now - since >= minAgeMs);
    return (old.length > 0 ? old : messages).reduce<Message | undefined>(
        (largest, message) => message.bytes > (largest?.bytes ?? 0) ? message : largest,
        undefined,
    );
}
