import type { LogLine } from "@tamarackgauge/gateway";

/**
 * How a call ended without a complete answer. `refused`: it has not run. `failed`: it may have run. `cut`: its answer broke
 * off. `late`: its time limit was reached. `left`: its caller disconnected.
 */
export type LossKind = "refused" | "failed" | "cut" | "late" | "left";

/** A call that was not served. */
export interface Loss {
    readonly kind: LossKind;
    readonly reason: string;
}

/** What a log line says about a call's end. */
export interface CallEnd {
    readonly call: string;
    readonly program: string | undefined;
    /** Identifies the turn among those of its program; tries of one turn have the same. */
    readonly turn: string;
    readonly route: string;
    /** Milliseconds that the caller was told to wait. */
    readonly retryAfter: number | undefined;
    /** Undefined if the call was answered completely. */
    readonly loss: Loss | undefined;
}

/** Decodes the line with which a call ended; undefined for all other lines. */
export function decodeCallEnd({ event, fields }: LogLine): CallEnd | undefined {
    const loss = decodeLoss(event, fields);
    if (typeof fields.call !== "string" || (loss === undefined && event !== "call.answered")) {
        return undefined;
    }
    return {
        call: fields.call,
        program: textOf(fields.program),
        turn: `${textOf(fields.program) ?? fields.call} ${textOf(fields.route) ?? ""} ${textOf(fields.after) ?? ""}`,
        route: textOf(fields.route) ?? "unknown",
        retryAfter: typeof fields.retryAfter === "number" ? fields.retryAfter : undefined,
        loss,
    };
}

const badGateway = 502;
const gatewayTimeout = 504;

function decodeLoss(event: string, fields: LogLine["fields"]): Loss | undefined {
    const reason = textOf(fields.reason) ?? "unknown";
    switch (event) {
        case "call.refused":
            return { kind: kindOfRefusal(fields), reason };
        case "call.left":
            return { kind: "left", reason: `the caller left (${textOf(fields.phase) ?? "unknown"})` };
        case "turn.notKept":
            return { kind: "cut", reason };
        default:
            return undefined;
    }
}

function kindOfRefusal({ status, begun }: LogLine["fields"]): LossKind {
    if (begun === true) {
        return "cut";
    }
    return status === gatewayTimeout ? "late" : status === badGateway ? "failed" : "refused";
}

function textOf(value: unknown): string | undefined {
    return typeof value === "string" ? value : undefined;
}
