import { type Call, message, type ModelTarget, type Refusal, refuse, type ToolTarget } from "@tamarackgauge/core";
import { createHash } from "node:crypto";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";

const identifierSchema = z.string().regex(/^[!-~]{1,128}$/, "must be 1-128 visible ASCII characters");
const booleanSchema = z.enum(["true", "false"], { error: "must be true or false" }).transform(value =>
    value === "true"
);
const countSchema = z.string().regex(/^\d{1,9}$/, "must be a whole number of at most 9 digits").transform(Number);

const callHeadersSchema = z.object({
    "tg-program": identifierSchema.optional(),
    "tg-sequence": countSchema.optional(),
    "tg-parent": identifierSchema.optional(),
    "tg-at-most-once": booleanSchema.default(false),
    "tg-end": booleanSchema.default(false),
    "tg-seal": z.string().regex(/^[!-~]{1,512}$/, "must be 1-512 visible ASCII characters").optional(),
    "idempotency-key": identifierSchema.optional(),
    "last-event-id": countSchema.default(0),
});

/** The properties of a call that its headers give. */
export type CallHead = Omit<Call, "plan" | "digest" | "target" | "partial">;

type RawHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Parses the headers of a call. A call without a program forms a program of its own, named by `generateId`. */
export function parseHead(headers: RawHeaders, generateId: () => string): Either<Refusal, CallHead> {
    const parsed = callHeadersSchema.safeParse(headers);
    if (!parsed.success) {
        const issue = parsed.error.issues[0];
        return Left(refuse("invalid_header", "notRun", `${issue?.path.join(".")} ${issue?.message}`));
    }
    const values = parsed.data;
    const program = values["tg-program"];
    const sequence = values["tg-sequence"];
    if (program === undefined && (sequence ?? 0) > 0) {
        return Left(refuse("invalid_header", "notRun", "tg-sequence needs tg-program"));
    }
    if (program !== undefined && program === values["tg-parent"]) {
        return Left(refuse("invalid_header", "notRun", "a program cannot be its own tg-parent"));
    }
    return Right({
        program: program ?? generateId(),
        request: values["idempotency-key"] ?? generateId(),
        sequence,
        parent: values["tg-parent"],
        atMostOnce: values["tg-at-most-once"],
        end: values["tg-end"] || program === undefined,
        offset: values["last-event-id"],
        ...values["tg-seal"] === undefined ? {} : { seal: values["tg-seal"] },
    });
}

const maxTokensSchema = z.int().min(1).max(1_000_000);

const chatBodySchema = z.looseObject({
    model: z.string().min(1).max(128),
    messages: z.array(message).min(1).max(10_000),
    max_tokens: maxTokensSchema.nullish(),
    max_completion_tokens: maxTokensSchema.nullish(),
    stream: z.boolean().nullish(),
    stream_options: z.unknown().optional(),
    n: z.literal(1, { error: "only one choice per call is served" }).nullish(),
    // Only the daemon sets these: with them a caller could overtake other programs or use their cache entries.
    priority: z.undefined({ error: "is not the caller's to set" }).optional(),
    cache_salt: z.undefined({ error: "is not the caller's to set" }).optional(),
});

/** A parsed chat-completions body. */
export interface ChatRequest {
    readonly target: ModelTarget;
    readonly stream: boolean;
}

/** Maximum nesting of a body. Values are copied recursively later, and deeper ones could overflow the stack. */
const maxDepth = 64;

/**
 * Parses a chat-completions body. With a seal, the messages up to the last answer are the history. Without an answer
 * among them, the seal only tells the owner up to which turn its history must reach.
 */
export function parseChat(body: Buffer, seal: string | undefined,
    defaultMaxTokens: number): Either<Refusal, ChatRequest> {
    return parseText(body).chain(parseJson).chain(value => {
        const parsed = chatBodySchema.safeParse(value);
        if (!parsed.success) {
            const issue = parsed.error.issues[0];
            return malformed(`${issue?.path.join(".") || "body"}: ${issue?.message}`);
        }
        const { model, messages, max_tokens, max_completion_tokens, stream } = parsed.data;
        const maxTokens = max_completion_tokens ?? max_tokens ?? defaultMaxTokens;
        const parameters = Object.fromEntries(
            Object.entries(parsed.data).filter(([key]) => !(key in chatBodySchema.shape)),
        );
        const target = { kind: "model" as const, model, messages, maxTokens, parameters };
        return withHistory(target, seal).map(targetWithHistory => ({ target: targetWithHistory,
            stream: stream ?? false })
        );
    });
}

function withHistory(target: ModelTarget, seal: string | undefined): Either<Refusal, ModelTarget> {
    if (seal === undefined) {
        return Right(target);
    }
    const historyLength = target.messages.findLastIndex(each => each.role === "assistant") + 1;
    if (historyLength === 0) {
        return Right(target);
    }
    if (historyLength === target.messages.length) {
        return malformed("with tg-seal, messages must be the history, which ends with an answer, and a new message");
    }
    const history = { messages: target.messages.slice(0, historyLength), seal };
    return Right({ ...target, messages: target.messages.slice(historyLength), history });
}

/** Parses the path and body of a tool call; `rest` is the path after `/v1/tools/`. */
export function parseTool(rest: string, body: Buffer): Either<Refusal, ToolTarget> {
    return parseToolPath(rest).chain(({ service, path }) =>
        parseText(body).map(text => ({ kind: "tool" as const, service, path, body: text }))
    );
}

/** Splits `<service>/<path>`. The path keeps its escapes and query. Dot segments that could leave it are refused. */
export function parseToolPath(rest: string): Either<Refusal, { readonly service: string; readonly path: string; }> {
    const [, name = "", path = ""] = /^([^/?]+)\/?(.*)$/.exec(rest) ?? [];
    const service = decodeIdentifier(name);
    const segments = path.split("?")[0]?.split(/[/\\]|%2f|%5c/i) ?? [];
    const hasDotSegment = segments.some(segment => /^(\.|%2e){1,2}$/i.test(segment));
    if (service === undefined || hasDotSegment || !/^[!-~]{0,2048}$/.test(path)) {
        return Left(refuse("malformed_request", "notRun", "the path of the tool call is not valid"));
    }
    return Right({ service, path });
}

/** Parses the name of a program in a path. */
export function parseProgram(rest: string): Either<Refusal, string> {
    const program = decodeIdentifier(rest);
    return program === undefined
        ? Left(refuse("malformed_request", "notRun", "the name of the program is not valid"))
        : Right(program);
}

/** The SHA-256 of a request's method, path and body in hexadecimal, by which a reused identity is recognized. */
export function digestOf(method: string, path: string, body: Buffer): string {
    return createHash("sha256").update(`${method} ${path}\n`).update(body).digest("hex");
}

function decodeIdentifier(text: string): string | undefined {
    try {
        return identifierSchema.safeParse(decodeURIComponent(text)).data;
    }
    catch {
        return undefined;
    }
}

function parseText(body: Buffer): Either<Refusal, string> {
    try {
        return Right(new TextDecoder("utf-8", { fatal: true }).decode(body));
    }
    catch {
        return malformed("it is not UTF-8");
    }
}

function parseJson(text: string): Either<Refusal, unknown> {
    try {
        const value: unknown = JSON.parse(text);
        return isDeeperThan(value, maxDepth) ? malformed(`it is nested deeper than ${maxDepth} levels`) : Right(value);
    }
    catch {
        return malformed("it is not JSON");
    }
}

function isDeeperThan(value: unknown, limit: number): boolean {
    if (typeof value !== "object" || value === null) {
        return false;
    }
    return limit === 0 || Object.values(value).some(inner => isDeeperThan(inner, limit - 1));
}

function malformed(detail: string): Either<Refusal, never> {
    return Left(refuse("malformed_body", "notRun", detail));
}
