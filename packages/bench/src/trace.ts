import { type Either, Left, Right } from "purify-ts";
import { type Program, programSchema } from "./program.ts";

/** Serializes a trace as newline-delimited JSON, one program per line. */
export function writeTrace(programs: readonly Program[]): string {
    return programs.map(each => `${JSON.stringify(each)}\n`).join("");
}

/** Parses a trace. Returns the first problem as `line N, field: message`. */
export function readTrace(text: string): Either<string, readonly Program[]> {
    const programs: Program[] = [];
    for (const [index, line] of text.split("\n").entries()) {
        if (line.trim() !== "") {
            const parsed = parseLine(line);
            if ("message" in parsed) {
                return Left(`line ${index + 1}, ${parsed.message}`);
            }
            programs.push(parsed.program);
        }
    }
    return programs.length === 0 ? Left("line 1, (file): has no program") : Right(programs);
}

function parseLine(line: string): { readonly program: Program; } | { readonly message: string; } {
    let value: unknown;
    try {
        value = JSON.parse(line);
    }
    catch (error) {
        return { message: `(line): ${error instanceof Error ? error.message : "not JSON"}` };
    }
    const parsed = programSchema.safeParse(value);
    if (parsed.success) {
        return { program: parsed.data };
    }
    const issue = parsed.error.issues[0];
    return { message: `${issue?.path.join(".") || "(line)"}: ${issue?.message}` };
}
