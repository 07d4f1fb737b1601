/** Whether a refused request ran: `notRun` guarantees that it did not; `unknown` means that it may have run. */
export type RunStatus = "notRun" | "unknown";

/** A refusal with a result code, as sent to callers, operators and daemons. Times are in milliseconds. */
export interface Refusal {
    readonly code: number;
    readonly name: CodeName;
    readonly message: string;
    readonly run: RunStatus;
    readonly retryAfterMs?: number;
}

interface CodeEntry {
    readonly code: number;
    readonly message: string;
}

/**
 * The result codes: the HTTP status (three digits) followed by one more digit. docs/codes.md lists this table.
 * The meaning of a code never changes; a new case gets a new number.
 */
export const codes = {
    malformed_body: { code: 4001, message: "the body is not valid" },
    invalid_header: { code: 4002, message: "a header is missing or not valid" },
    malformed_request: { code: 4003, message: "the request is not valid HTTP/1.1" },
    invalid_configuration: { code: 4004, message: "the configuration is not valid" },
    key_rejected: { code: 4011, message: "the key is missing or unknown" },
    model_not_allowed: { code: 4031, message: "the plan may not use this model" },
    service_not_allowed: { code: 4032, message: "the plan may not use this service" },
    unknown_path: { code: 4041, message: "there is no such path" },
    program_unknown: { code: 4042, message: "there is no such program" },
    method_not_allowed: { code: 4051, message: "the path does not take this method" },
    request_slow: { code: 4081, message: "the request did not arrive in time" },
    sequence_gap: { code: 4091, message: "an earlier call of the program did not arrive" },
    history_needed: { code: 4092,
        message: "the history was lost with its owner; send the whole history with its seal" },
    identity_reused: { code: 4093, message: "the request identity was used with another body" },
    sequence_past: { code: 4094, message: "the sequence number was used by another request" },
    version_conflict: { code: 4095, message: "the expected version is not the version in force" },
    program_ended: { code: 4096, message: "the program has ended" },
    partial_lost: { code: 4097, message: "the partial answer was lost with its owner; ask again from the start" },
    body_too_large: { code: 4131, message: "the body is larger than the limit" },
    headers_too_large: { code: 4311, message: "the headers are larger than the limit" },
    budget_spent: { code: 4291, message: "the budget of the plan does not cover the call" },
    programs_at_once: { code: 4292, message: "the plan already runs as many programs as it may" },
    overloaded: { code: 4293, message: "the call would not be served in time" },
    too_many_waiting: { code: 4294, message: "too many calls of the program wait" },
    too_many_streams: { code: 4295, message: "too many open streams" },
    turn_limit: { code: 4296, message: "the program has used all its turns" },
    internal: { code: 5001, message: "internal error" },
    upstream_failed: { code: 5021, message: "the upstream failed" },
    upstream_unreachable: { code: 5022, message: "no upstream could be reached" },
    store_unavailable: { code: 5031, message: "the intent could not be stored, so the call was not made" },
    isolated: { code: 5032, message: "the daemon reaches neither the store nor its peers" },
    journal_full: { code: 5033, message: "too much history waits for the store" },
    configuration_stale: { code: 5034, message: "the daemon could not confirm its configuration" },
    leaving: { code: 5035, message: "the daemon is leaving" },
    owner_unreachable: { code: 5036, message: "the owner of the program could not be reached" },
    upstream_missing: { code: 5037, message: "no live upstream serves this" },
    outcome_unknown: { code: 5041, message: "the call may have run; its outcome is not known" },
    deadline: { code: 5042, message: "the call did not finish before its deadline" },
} as const satisfies Record<string, CodeEntry>;

/** The name of a result code. */
export type CodeName = keyof typeof codes;

/** Creates a refusal. `detail` is appended to the standard message; `retryAfterMs` is the delay before a retry. */
export function refuse(name: CodeName, run: RunStatus, detail?: string, retryAfterMs?: number): Refusal {
    const { code, message } = codes[name];
    const text = detail === undefined ? message : `${message}: ${detail}`;
    return { code, name, message: text, run, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
}

/** The HTTP status of a refusal. */
export function httpStatusOf(refusal: Refusal): number {
    return Math.floor(refusal.code / 10);
}

/** Carries a refusal as an exception where it cannot be returned as a value. */
export class RefusalError extends Error {
    constructor(readonly refusal: Refusal) {
        super(`${refusal.code} ${refusal.message}`);
    }
}
