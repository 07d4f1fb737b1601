import type { Quota, QuotaRole } from "@tamarackgauge/core/gateway";
import type { Log } from "./log.ts";
import type { QuotaDecision } from "./metrics.ts";

/** What a gateway that decides about a team knows of it. */
export interface AuthorityState {
    readonly team: string;
    readonly role: QuotaRole | undefined;
    readonly quota: Quota;
    /** Whether the home has the share of its deputy at the moment. */
    readonly hasDeputyShare: boolean;
}

/** Logs how quotas are used, at intervals. */
export interface QuotaReport {
    /** Records the decision about a call at this gateway. */
    recordCall(team: string, decision: QuotaDecision): void;
    /** Records credits that this gateway handed out or denied, as it decides about the team. */
    recordIssue(team: string, granted: number, denied: number): void;
    /** Writes the lines if it is time. */
    write(states: Iterable<AuthorityState>): void;
}

const intervalMs = 10_000;
/** Maximum number of teams in the lines of one interval; those with the most refusals come first. */
const maxTeams = 8;

interface IssueCounts {
    granted: number;
    denied: number;
}

/** Creates the report. Teams without a refusal are left out. */
export function createQuotaReport(log: Log, now: () => number): QuotaReport {
    let refused = new Map<string, Map<QuotaDecision, number>>();
    let issued = new Map<string, IssueCounts>();
    let writtenAt = now();

    function write(states: Iterable<AuthorityState>): void {
        const ms = now() - writtenAt;
        if (ms < intervalMs) {
            return;
        }
        writtenAt = now();
        const byRefusals = [...refused].map(([team, counts]) => ({ team, counts, total: sum(counts.values()) }))
            .sort((left, right) => right.total - left.total);
        for (const { team, counts, total } of byRefusals.slice(0, maxTeams)) {
            log.warn("quota.refused", { team, refused: total, ...Object.fromEntries(counts), ms: Math.round(ms),
                otherTeams: Math.max(0, byRefusals.length - maxTeams) });
        }
        const denying = [...states].map(state => ({ ...state, ...issued.get(state.team) ?? { granted: 0, denied: 0 } }))
            .filter(({ denied }) => denied > 0).sort((left, right) => right.denied - left.denied);
        for (const { team, role, quota, hasDeputyShare, granted, denied } of denying.slice(0, maxTeams)) {
            log.info("quota.use", { team, role, ratePerSecond: quota.ratePerSecond, burst: quota.burst, hasDeputyShare,
                granted, denied, ms: Math.round(ms) });
        }
        refused = new Map();
        issued = new Map();
    }

    return {
        recordCall(team, decision) {
            if (decision === "denied" || decision === "remembered" || decision === "unreachable") {
                const counts = refused.get(team) ?? new Map<QuotaDecision, number>();
                refused.set(team, counts.set(decision, (counts.get(decision) ?? 0) + 1));
            }
        },
        recordIssue(team, granted, denied) {
            const counts = issued.get(team) ?? { granted: 0, denied: 0 };
            counts.granted += granted;
            counts.denied += denied;
            issued.set(team, counts);
        },
        write,
    };
}

function sum(values: Iterable<number>): number {
    return [...values].reduce((total, value) => total + value, 0);
}
