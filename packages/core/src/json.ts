import { type Either, Left, Right } from "purify-ts";

/** A parsed JSON text with the position of each value, so that errors can be reported with their line. */
export interface LocatedJson {
    readonly value: unknown;
    /** Fields that occur more than once in an object; JSON.parse would silently keep the last value. */
    readonly duplicates: readonly JsonPath[];
    /** Start of the value at `path`; if the path does not exist, start of its nearest existing parent. */
    offsetOf(path: JsonPath): number;
    positionAt(offset: number): TextPosition;
}

/** Keys and indexes that lead from the root value to a nested value. */
export type JsonPath = readonly (string | number)[];

/** A position in a text; both numbers start at 1. */
export interface TextPosition {
    readonly line: number;
    readonly column: number;
}

/** The first syntax error of a text. */
export interface JsonSyntaxError extends TextPosition {
    readonly message: string;
}

/** Limits the nesting depth, since the reader is recursive and must not exhaust the stack. */
const maxDepth = 32;

class ParseError extends Error {
    constructor(readonly offset: number, message: string) {
        super(message);
    }
}

/**
 * Parses a JSON text, or returns its first syntax error. Positions are collected by a second pass when the first one is
 * requested: recording the position of each value takes several times as long as parsing, and most texts are free of
 * errors.
 */
export function parseJson(text: string): Either<JsonSyntaxError, LocatedJson> {
    const reader = createReader(text, undefined);
    try {
        const value = reader.readDocument();
        let startOffsets: Map<string, number> | undefined;
        return Right({
            value,
            duplicates: reader.duplicates,
            offsetOf: path => nearestStart(startOffsets ??= readStartOffsets(text), path),
            positionAt: offset => positionOf(text, offset),
        });
    }
    catch (error) {
        if (error instanceof ParseError) {
            return Left({ ...positionOf(text, error.offset), message: error.message });
        }
        throw error;
    }
}

function readStartOffsets(text: string): Map<string, number> {
    const startOffsets = new Map<string, number>();
    createReader(text, startOffsets).readDocument();
    return startOffsets;
}

/** Formats a path, such as `plans[0].name`; the root value is `(file)`. */
export function formatPath(path: JsonPath): string {
    const text = path.map(step => typeof step === "number" ? `[${step}]` : `.${step}`).join("");
    return text === "" ? "(file)" : text.replace(/^\./, "");
}

function positionOf(text: string, offset: number): TextPosition {
    const before = text.slice(0, offset);
    const lastBreak = before.lastIndexOf("\n");
    return { line: before.split("\n").length, column: offset - lastBreak };
}

function nearestStart(startOffsets: ReadonlyMap<string, number>, path: JsonPath): number {
    for (let length = path.length; length > 0; length -= 1) {
        const start = startOffsets.get(JSON.stringify(path.slice(0, length)));
        if (start !== undefined) {
            return start;
        }
    }
    return startOffsets.get("[]") ?? 0;
}

/** Creates a reader for one text. The start of each value is recorded in `startOffsets` if it is given. */
function createReader(text: string, startOffsets: Map<string, number> | undefined) {
    const duplicates: JsonPath[] = [];
    const path: (string | number)[] = [];
    const number = /-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?/y;
    const literal = /true|false|null/y;
    const whitespace = /[ \t\r\n]*/y;
    const unescapedString = /"[^"\\\u0000-\u001f]*"/y;
    let offset = 0;

    function match(pattern: RegExp): boolean {
        pattern.lastIndex = offset;
        const found = pattern.test(text);
        offset = found ? pattern.lastIndex : offset;
        return found;
    }

    function fail(expected: string): never {
        const found = offset >= text.length ? "the end of the text" : JSON.stringify(text[offset]);
        throw new ParseError(offset, `expected ${expected}, found ${found}`);
    }

    function expect(character: string): void {
        if (text[offset] !== character) {
            fail(`"${character}"`);
        }
        offset += 1;
    }

    function recordStart(start: number): void {
        startOffsets?.set(JSON.stringify(path), start);
    }

    function readString(): string {
        const start = offset;
        return match(unescapedString) ? text.slice(start + 1, offset - 1) : readEscapedString();
    }

    function readEscapedString(): string {
        const start = offset;
        expect("\"");
        while (text[offset] !== "\"") {
            if (offset >= text.length || text.charCodeAt(offset) < 0x20) {
                fail("the end of the string");
            }
            offset += text[offset] === "\\" ? 2 : 1;
        }
        offset += 1;
        try {
            return JSON.parse(text.slice(start, offset)) as string;
        }
        catch {
            throw new ParseError(start, "the string has an escape that JSON does not know");
        }
    }

    function readObject(): Record<string, unknown> {
        const result: Record<string, unknown> = {};
        readItems("{", "}", () => {
            const start = offset;
            const key = readString();
            path.push(key);
            if (Object.hasOwn(result, key)) {
                duplicates.push([...path]);
            }
            match(whitespace);
            expect(":");
            const value = readValue();
            recordStart(start);
            path.pop();
            setField(result, key, value);
        });
        return result;
    }

    function readArray(): unknown[] {
        const result: unknown[] = [];
        readItems("[", "]", () => {
            path.push(result.length);
            result.push(readValue());
            path.pop();
        });
        return result;
    }

    function readItems(open: string, close: string, readItem: () => void): void {
        expect(open);
        match(whitespace);
        if (text[offset] === close) {
            offset += 1;
            return;
        }
        for (;;) {
            match(whitespace);
            readItem();
            match(whitespace);
            if (text[offset] === close) {
                offset += 1;
                return;
            }
            if (text[offset] !== ",") {
                fail(`"," or "${close}"`);
            }
            offset += 1;
        }
    }

    function readValue(): unknown {
        match(whitespace);
        if (path.length > maxDepth) {
            throw new ParseError(offset, `values are nested deeper than ${maxDepth} levels`);
        }
        const start = offset;
        recordStart(start);
        switch (text[offset]) {
            case "{":
                return readObject();
            case "[":
                return readArray();
            case "\"":
                return readString();
        }
        return match(literal) || match(number) ? JSON.parse(text.slice(start, offset)) : fail("a value");
    }

    function readDocument(): unknown {
        const value = readValue();
        match(whitespace);
        if (offset < text.length) {
            fail("the end of the text");
        }
        return value;
    }

    return { readDocument, duplicates };
}

function setField(target: Record<string, unknown>, key: string, value: unknown): void {
    if (key === "__proto__") {
        // A plain assignment would replace the prototype.
        Object.defineProperty(target, key, { value, enumerable: true, configurable: true, writable: true });
        return;
    }
    target[key] = value;
}
