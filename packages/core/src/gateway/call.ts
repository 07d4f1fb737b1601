/** A part of a prompt. Calls whose prompts start with the same parts share the engine's cache entries for them. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Metadata of a call, decoded from its headers. Times are in milliseconds. */
export interface CallHead {
    /** Identifies this attempt; each attempt of a caller has its own id. */
    readonly id: string;
    readonly program: string | undefined;
    /** How long the caller waits for the answer. */
    readonly deadline: number | undefined;
    /** Time left until the program should be finished. */
    readonly programDeadline: number | undefined;
    /** Maximum number of tokens that all turns of the program may generate together. */
    readonly tokenBudget: number | undefined;
    readonly promptTokens: number;
    /** Maximum number of tokens that this turn generates. */
    readonly maxTokens: number;
    readonly parts: readonly PromptPart[];
    /** Id of the turn that this one continues. */
    readonly previousTurn: string | undefined;
    /** Calls with the same affinity key concern the same object. */
    readonly affinity: string | undefined;
}

/** Load that an upstream reports with an answer. */
export interface UpstreamLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** Current processing time relative to normal; 1 is normal. */
    readonly slowness: number;
}

/** What an answer states about the requests a second that its upstream takes from all gateways together. */
export type RateLimitStatement =
    | { readonly kind: "limited"; readonly requestsPerSecond: number; }
    /** The answer names no limit: there is none, or it has ended. */
    | { readonly kind: "unlimited"; }
    /** The answer names a limit that cannot be read. It states neither a limit nor the end of one. */
    | { readonly kind: "unreadable"; };

/** Status and decoded headers of an upstream's answer. */
export interface AnswerHead {
    readonly status: number;
    /** Id of the call that this answer belongs to, as reported by the upstream; undefined if it reports several. */
    readonly callId: string | undefined;
    /** The upstream states that it did not run the call and will not run it later. */
    readonly notRun: boolean;
    /** The upstream is not the one that the call was addressed to. */
    readonly misdirected: boolean;
    /** A second status line stands in the head, so that it is not known which answer its headers belong to. */
    readonly spoiled: boolean;
    /** The answer carries a signature header, so it comes from the upstream itself. */
    readonly signed: boolean;
    /** The body has a content encoding, so its bytes are not the ones that the upstream wrote. */
    readonly encoded: boolean;
    readonly load: UpstreamLoad | undefined;
    /** The upstream announces that it leaves. */
    readonly leaving: boolean;
    readonly rateLimit: RateLimitStatement;
    /** The upstream closes the connection after this answer. */
    readonly closesConnection: boolean;
}

/** Registration entry of an upstream. */
export interface UpstreamEntry {
    readonly id: string;
    readonly service: string;
    readonly address: string;
    readonly port: number;
    readonly dataCentre: string;
    readonly slots: number;
    /** A draining upstream gets no new calls. */
    readonly draining: boolean;
    /**
     * Start time of the upstream, in milliseconds since 1970. A later time under the same id means a restart, after
     * which the upstream's caches are empty.
     */
    readonly startedAt: number | undefined;
}
