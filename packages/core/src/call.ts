import { z } from "zod";
import type { Refusal } from "./code.ts";

/** A message in the format of the chat completions API. */
export const message = z.looseObject({
    role: z.string().min(1).max(64),
    content: z.union([z.string(), z.array(z.looseObject({ type: z.string() })), z.null()]).optional(),
});

/** A message in the format of the chat completions API. */
export type Message = z.infer<typeof message>;

/** A call of a program, as the entry daemon forwards it to the owner of the program. */
export interface Call {
    readonly plan: string;
    readonly program: string;
    /** Request identity chosen by the caller, unique within the program. */
    readonly request: string;
    /** Position in the program, starting at 0. Without it, calls run in their order of arrival at the owner. */
    readonly sequence?: number;
    /** Name of the parent program if this program is a sub-agent. */
    readonly parent?: string;
    /** Whether the call must run at most once, whatever fails. */
    readonly atMostOnce: boolean;
    /** Whether the program ends after this call. */
    readonly end: boolean;
    /** Number of characters of the answer that the caller has already received. */
    readonly offset: number;
    /** Text that the entry daemon has already delivered; a new owner lets the engine continue from it. */
    readonly partial?: string;
    /** Number of generated tokens in `partial`. */
    readonly partialTokens?: number;
    /** The seal of the program's last completion, if the caller has it. */
    readonly seal?: string;
    /** Version of the configuration that admitted the call; an owner with an older version updates first. */
    readonly configurationVersion?: number;
    /** Connects this call's timeline events to those of the sending daemon. */
    readonly trace?: Trace;
    /** Digest of the request's content; detects an identity that is reused for another request. */
    readonly digest: string;
    readonly target: ModelTarget | ToolTarget;
}

/** Id of the timeline event that caused a message, and the Lamport clock of its sender. */
export interface Trace {
    readonly cause: string;
    readonly stamp: number;
}

/** A model call. */
export interface ModelTarget {
    readonly kind: "model";
    readonly model: string;
    /** The messages added since the last turn. */
    readonly messages: readonly Message[];
    /** Maximum number of generated tokens; this amount is reserved from the budget. */
    readonly maxTokens: number;
    /** Parameters passed to the engine unchanged. */
    readonly parameters?: Readonly<Record<string, unknown>>;
    /** The history before this call and its seal, resent by the caller after the owner lost it. */
    readonly history?: { readonly messages: readonly Message[]; readonly seal: string; };
}

/** A tool call, which is an HTTP request to a service. */
export interface ToolTarget {
    readonly kind: "tool";
    readonly service: string;
    readonly path: string;
    readonly body: string;
}

/**
 * Durability of a finished call: `stored` survives the failure of all daemons; `caller` can be recovered only from the
 * caller's copy.
 */
export type Durability = "stored" | "caller";

/** The result of a finished call, sent at the end of its answer. */
export interface Completion {
    /** `stop` or `length` for a model call; `tool` for a tool call. */
    readonly reason: string;
    /** HTTP status of a tool call; 200 for a model call. */
    readonly status: number;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly tokens: number;
    readonly durability: Durability;
    readonly sequence: number;
    readonly upstream: string;
    /** Tool calls requested by the model, in the format of the chat completions API. */
    readonly toolCalls?: readonly unknown[];
    /** Seal of the history after this call; the caller resends it with the history if the owner loses the history. */
    readonly seal?: string;
    readonly trace?: Trace;
}

/**
 * One event of a streamed answer. `offset` is the number of characters before `text`; `tokens` is the number of tokens
 * up to the end of `text`.
 */
export type AnswerEvent =
    | { readonly type: "text"; readonly offset: number; readonly text: string; readonly tokens?: number; }
    | { readonly type: "done"; readonly completion: Completion; }
    | { readonly type: "refused"; readonly refusal: Refusal; };
