import { levelCount } from "./order.ts";

const minLimit = 1;
const maxLimit = 8;

/**
 * Limits how many pending calls (without a first token) this daemon keeps at one engine. Only calls of the same or a
 * more urgent level count, so that pending long programs never block short ones.
 */
export class PendingWindow {
    private limit = 4;
    private readonly pendingByLevel = new Int32Array(levelCount);

    add(level: number): void {
        this.pendingByLevel[level]! += 1;
    }

    remove(level: number): void {
        this.pendingByLevel[level]! -= 1;
    }

    /** Whether one more call of the level may be sent to the engine. */
    hasCapacity(level: number): boolean {
        let count = 0;
        for (let index = 0; index <= level; index += 1) {
            count += this.pendingByLevel[index]!;
        }
        return count < Math.floor(this.limit);
    }

    /** Adapts the limit to a first token: multiplicative decrease if queueing delayed it, else additive increase. */
    adapt(queued: boolean): void {
        this.limit = queued ? Math.max(minLimit, this.limit * 0.8) : Math.min(maxLimit, this.limit + 1 / this.limit);
    }
}
