import { type Either, Left, Right } from "purify-ts";

/** A parsed JSON text that knows where each value starts, so that an error can be shown at its line. */
export interface LocatedJson {
    readonly value: unknown;
    /** Fields that occur twice in one object; JSON.parse would silently keep the last. */
    readonly duplicates: readonly Path[];
    /** Where in the text the value at `path` starts; for a path that does not exist, its nearest parent. */
    offset(path: Path): number;
    place(offset: number): Place;
}

/** The steps from the top value to a value inside. */
export type Path = readonly (string | number)[];

/** A position in a text; both numbers start at 1. */
export interface Place {
    readonly line: number;
    readonly column: number;
}

/** The first syntax error of a text. */
export interface SyntaxFault extends Place {
    readonly message: string;
}

/** Deeper texts are refused: the reader is recursive and must not exhaust the stack. */
const depthLimit = 32;

class Fault extends Error {
    constructor(readonly at: number, message: string) {
        super(message);
    }
}

/**
 * Parses a JSON text, or gives its first syntax error. Places are found by a second reading when the first one is asked
 * for: keeping the place of each value takes several times as long as reading, and most texts have no mistakes.
 */
export function parseJson(text: string): Either<SyntaxFault, LocatedJson> {
    const reader = createReader(text, undefined);
    try {
        const value = reader.document();
        let starts: Map<string, number> | undefined;
        return Right({
            value,
            duplicates: reader.duplicates,
            offset: path => nearest(starts ??= readStarts(text), path),
            place: offset => placeOf(text, offset),
        });
    }
    catch (error) {
        if (error instanceof Fault) {
            return Left({ ...placeOf(text, error.at), message: error.message });
        }
        throw error;
    }
}

function readStarts(text: string): Map<string, number> {
    const starts = new Map<string, number>();
    createReader(text, starts).document();
    return starts;
}

/** The text form of a path, such as `plans[0].name`; the top value is `(file)`. */
export function pathText(path: Path): string {
    const text = path.map(step => typeof step === "number" ? `[${step}]` : `.${step}`).join("");
    return text === "" ? "(file)" : text.replace(/^\./, "");
}

function placeOf(text: string, offset: number): Place {
    const before = text.slice(0, offset);
    const lastBreak = before.lastIndexOf("\n");
    return { line: before.split("\n").length, column: offset - lastBreak };
}

function nearest(starts: ReadonlyMap<string, number>, path: Path): number {
    for (let length = path.length; length > 0; length -= 1) {
        const start = starts.get(JSON.stringify(path.slice(0, length)));
        if (start !== undefined) {
            return start;
        }
    }
    return starts.get("[]") ?? 0;
}

/** Reads one text. The place of each value goes to `starts` if it is given. */
function createReader(text: string, starts: Map<string, number> | undefined) {
    const duplicates: Path[] = [];
    const path: (string | number)[] = [];
    const number = /-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?/y;
    const literal = /true|false|null/y;
    const blank = /[ \t\r\n]*/y;
    const plain = /"[^"\\\u0000-\u001f]*"/y;
    let at = 0;

    function match(pattern: RegExp): boolean {
        pattern.lastIndex = at;
        const found = pattern.test(text);
        at = found ? pattern.lastIndex : at;
        return found;
    }

    function fail(expected: string): never {
        const found = at >= text.length ? "the end of the text" : JSON.stringify(text[at]);
        throw new Fault(at, `expected ${expected}, found ${found}`);
    }

    function expect(character: string): void {
        if (text[at] !== character) {
            fail(`"${character}"`);
        }
        at += 1;
    }

    function keepPlace(start: number): void {
        starts?.set(JSON.stringify(path), start);
    }

    function string(): string {
        const start = at;
        return match(plain) ? text.slice(start + 1, at - 1) : escapedString();
    }

    function escapedString(): string {
        const start = at;
        expect("\"");
        while (text[at] !== "\"") {
            if (at >= text.length || text.charCodeAt(at) < 0x20) {
                fail("the end of the string");
            }
            at += text[at] === "\\" ? 2 : 1;
        }
        at += 1;
        try {
            return JSON.parse(text.slice(start, at)) as string;
        }
        catch {
            throw new Fault(start, "the string has an escape that JSON does not know");
        }
    }

    function object(): Record<string, unknown> {
        const result: Record<string, unknown> = {};
        sequence("{", "}", () => {
            const start = at;
            const key = string();
            path.push(key);
            if (Object.hasOwn(result, key)) {
                duplicates.push([...path]);
            }
            match(blank);
            expect(":");
            const value = read();
            keepPlace(start);
            path.pop();
            set(result, key, value);
        });
        return result;
    }

    function array(): unknown[] {
        const result: unknown[] = [];
        sequence("[", "]", () => {
            path.push(result.length);
            result.push(read());
            path.pop();
        });
        return result;
    }

    function sequence(open: string, close: string, member: () => void): void {
        expect(open);
        match(blank);
        if (text[at] === close) {
            at += 1;
            return;
        }
        for (;;) {
            match(blank);
            member();
            match(blank);
            if (text[at] === close) {
                at += 1;
                return;
            }
            if (text[at] !== ",") {
                fail(`"," or "${close}"`);
            }
            at += 1;
        }
    }

    function read(): unknown {
        match(blank);
        if (path.length > depthLimit) {
            throw new Fault(at, `values are nested deeper than ${depthLimit} levels`);
        }
        const start = at;
        keepPlace(start);
        switch (text[at]) {
            case "{":
                return object();
            case "[":
                return array();
            case "\"":
                return string();
        }
        return match(literal) || match(number) ? JSON.parse(text.slice(start, at)) : fail("a value");
    }

    function document(): unknown {
        const value = read();
        match(blank);
        if (at < text.length) {
            fail("the end of the text");
        }
        return value;
    }

    return { document, duplicates };
}

function set(target: Record<string, unknown>, key: string, value: unknown): void {
    if (key === "__proto__") {
        // Assignment would change the prototype.
        Object.defineProperty(target, key, { value, enumerable: true, configurable: true, writable: true });
        return;
    }
    target[key] = value;
}
