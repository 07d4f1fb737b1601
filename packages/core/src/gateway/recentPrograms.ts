import { hash } from "../hash.ts";

interface RecentProgram {
    readonly turns: number;
    readonly lastAt: number;
}

/** A program without a turn for this long counts as new. */
const forgetAfterMs = 60_000;
/** Number of programs that are remembered, several times that of programs under way at one gateway. */
const maxPrograms = 20_000;

/**
 * The programs whose turns this gateway has answered of late. Where callers send the whole history themselves, a later turn
 * cannot be told from a first one by its head. Times are monotonic milliseconds.
 */
export class RecentPrograms {
    /** By the hash of the program's id, as ids may be long; the least recent one is first. */
    private readonly programs = new Map<number, RecentProgram>();

    /** Number of turns of the program that were answered here. */
    turns(program: string, now: number): number {
        const found = this.programs.get(hash(program));
        return found === undefined || now - found.lastAt > forgetAfterMs ? 0 : found.turns;
    }

    /** Records that a turn of the program was answered. */
    record(program: string, now: number): void {
        const turns = this.turns(program, now) + 1;
        const key = hash(program);
        this.programs.delete(key);
        this.programs.set(key, { turns, lastAt: now });
        if (this.programs.size > maxPrograms) {
            const [oldest] = this.programs.keys();
            this.programs.delete(oldest!);
        }
    }
}
