/** A part of a prompt. Calls with the same parts at the start share what an engine keeps of them. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What a call says about itself beside its body. Times are in milliseconds. */
export interface CallHead {
    /** Identity of this attempt; every attempt of a caller has its own. */
    readonly id: string;
    readonly program: string | undefined;
    /** The time that the caller waits for the answer. */
    readonly deadline: number | undefined;
    /** The time until the program should have ended. */
    readonly programDeadline: number | undefined;
    /** The most tokens that all turns of the program may generate. */
    readonly tokenBudget: number | undefined;
    readonly promptTokens: number;
    /** The most tokens that this turn generates. */
    readonly maxTokens: number;
    readonly parts: readonly PromptPart[];
    /** The turn that this one continues. */
    readonly previousTurn: string | undefined;
    /** Calls with the same affinity concern the same object. */
    readonly affinity: string | undefined;
}

/** Load that an upstream tells with an answer. */
export interface UpstreamLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes at the moment; 1 is usual. */
    readonly slowness: number;
}

/** What the head of an upstream's answer says. */
export interface AnswerHead {
    readonly status: number;
    /** The call that this answer belongs to, as the upstream says. */
    readonly callId: string | undefined;
    /** The upstream did not run the call and never will. */
    readonly notRun: boolean;
    /** The answer is certainly the upstream's own. */
    readonly signed: boolean;
    /** The body is not what the upstream wrote. */
    readonly encoded: boolean;
    readonly load: UpstreamLoad | undefined;
    /** The upstream closes the connection after this answer. */
    readonly closesConnection: boolean;
}

/** An upstream as it registered itself. */
export interface UpstreamEntry {
    readonly id: string;
    readonly service: string;
    readonly address: string;
    readonly port: number;
    readonly dataCentre: string;
    readonly slots: number;
    /** A draining upstream gets no new calls. */
    readonly draining: boolean;
    /** Start of this life of the upstream, in milliseconds since 1970; a restart under the same id knows nothing. */
    readonly startedAt: number | undefined;
}
