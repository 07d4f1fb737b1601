import { z } from "zod";
import type { Refusal } from "./code.ts";

/** A chat message as callers of chat completions send it. */
export const message = z.looseObject({
    role: z.string().min(1).max(64),
    content: z.union([z.string(), z.array(z.looseObject({ type: z.string() })), z.null()]).optional(),
});

/** A chat message as callers of chat completions send it. */
export type Message = z.infer<typeof message>;

/** A call of a program, as the entry daemon hands it to the owner of the program. */
export interface Call {
    readonly plan: string;
    readonly program: string;
    /** Identity chosen by the caller, unique in the program. */
    readonly request: string;
    /** Position in the program from 0; without it the order of arrival at the owner counts. */
    readonly sequence?: number;
    /** Name of the parent program, for a sub-agent. */
    readonly parent?: string;
    /** The call runs at most once, whatever fails. */
    readonly atMostOnce: boolean;
    /** The program ends after this call. */
    readonly end: boolean;
    /** Characters of the answer that the caller already has. */
    readonly offset: number;
    /** Text that the entry already delivered, so that a new owner lets the engine continue from it. */
    readonly partial?: string;
    /** Generated tokens in `partial`. */
    readonly partialTokens?: number;
    /** The seal of the program's last completion, if the caller has it. */
    readonly seal?: string;
    /** Version of the configuration that admitted the call; an owner that is behind catches up first. */
    readonly configurationVersion?: number;
    /** Link to the timeline of the daemon that sent the call. */
    readonly trace?: Trace;
    /** Digest of everything that makes the request what it is. */
    readonly digest: string;
    readonly target: ModelTarget | ToolTarget;
}

/** Id of the event that led to a message, and the Lamport clock of its sender. */
export interface Trace {
    readonly cause: string;
    readonly stamp: number;
}

/** A turn on a model engine. */
export interface ModelTarget {
    readonly kind: "model";
    readonly model: string;
    /** The messages that are new since the last turn. */
    readonly messages: readonly Message[];
    /** Upper bound of generated tokens; the budget reserves it. */
    readonly maxTokens: number;
    /** Parameters passed to the engine as they are. */
    readonly parameters?: Readonly<Record<string, unknown>>;
    /** The history up to this call and its seal, sent back after it was lost with its owner. */
    readonly history?: { readonly messages: readonly Message[]; readonly seal: string; };
}

/** A call of a plain service. */
export interface ToolTarget {
    readonly kind: "tool";
    readonly service: string;
    readonly path: string;
    readonly body: string;
}

/** What a finished call survives: `stored` the death of every daemon, `caller` only with the caller's copy. */
export type Durability = "stored" | "caller";

/** The end of an answer. */
export interface Completion {
    /** For a model turn `stop` or `length`; for a tool call `tool`. */
    readonly reason: string;
    /** HTTP status of a tool call; 200 for a model turn. */
    readonly status: number;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly tokens: number;
    readonly durability: Durability;
    readonly sequence: number;
    readonly upstream: string;
    /** Tool calls that the model asks for, in the shape of chat completions. */
    readonly toolCalls?: readonly unknown[];
    /** Proof of the history after this call, to be sent back if the owner loses it. */
    readonly seal?: string;
    readonly trace?: Trace;
}

/** One event of an answer. `offset` counts the characters before `text`, `tokens` the tokens up to its end. */
export type AnswerEvent =
    | { readonly type: "text"; readonly offset: number; readonly text: string; readonly tokens?: number; }
    | { readonly type: "done"; readonly completion: Completion; }
    | { readonly type: "refused"; readonly refusal: Refusal; };
