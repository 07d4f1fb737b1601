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

/** Parses a JSON text, or gives its first syntax error. */
export function parseJson(text: string): Either<SyntaxFault, LocatedJson> {
    const reader = createReader(text);
    try {
        const value = reader.document();
        const { starts, duplicates } = reader;
        return Right({
            value,
            duplicates,
            offset: path => nearest(starts, path),
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

function createReader(text: string) {
    const starts = new Map<string, number>();
    const duplicates: Path[] = [];
    const number = /-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?/y;
    const literal = /true|false|null/y;
    const blank = /[ \t\r\n]*/y;
    let at = 0;

    function skip(): void {
        blank.lastIndex = at;
        blank.exec(text);
        at = blank.lastIndex;
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

    function match(pattern: RegExp): string | undefined {
        pattern.lastIndex = at;
        const found = pattern.exec(text)?.[0];
        at += found?.length ?? 0;
        return found;
    }

    function string(): string {
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

    function object(path: Path): Record<string, unknown> {
        const result: Record<string, unknown> = {};
        sequence("{", "}", () => {
            const start = at;
            const key = string();
            const inner = [...path, key];
            if (Object.hasOwn(result, key)) {
                duplicates.push(inner);
            }
            skip();
            expect(":");
            const value = read(inner);
            starts.set(JSON.stringify(inner), start);
            // Plain assignment to "__proto__" would change the prototype.
            Object.defineProperty(result, key, { value, enumerable: true, configurable: true, writable: true });
        });
        return result;
    }

    function array(path: Path): unknown[] {
        const result: unknown[] = [];
        sequence("[", "]", () => {
            result.push(read([...path, result.length]));
        });
        return result;
    }

    function sequence(open: string, close: string, member: () => void): void {
        expect(open);
        skip();
        if (text[at] === close) {
            at += 1;
            return;
        }
        for (;;) {
            skip();
            member();
            skip();
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

    function read(path: Path): unknown {
        skip();
        if (path.length > depthLimit) {
            throw new Fault(at, `values are nested deeper than ${depthLimit} levels`);
        }
        starts.set(JSON.stringify(path), at);
        switch (text[at]) {
            case "{":
                return object(path);
            case "[":
                return array(path);
            case "\"":
                return string();
        }
        const word = match(literal) ?? match(number);
        return word === undefined ? fail("a value") : JSON.parse(word);
    }

    function document(): unknown {
        const value = read([]);
        skip();
        if (at < text.length) {
            fail("the end of the text");
        }
        return value;
    }

    return { document, starts, duplicates };
}
