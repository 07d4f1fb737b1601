/** Use of a service's engines by one team. */
interface Use {
    /** Calls in progress. */
    places: number;
    /** Average number of calls in progress. */
    usual: number;
    updatedAt: number;
}

/** Time over which a team's usual use is averaged. A burst of some seconds hardly changes it. */
const averagingMs = 60_000;
/** Minimum time over which it is averaged while little is known. */
const minAveragingMs = 2_000;
/** A team has its usual share up to this multiple of its usual use, and this number of calls more. */
const usualFactor = 1.5;
const extraPlaces = 2;
/** Number of teams that are remembered. */
const maxTeams = 20_000;

/** Calls in progress of each team, compared with its usual use. Times are monotonic milliseconds. */
export class TeamUse {
    /** Least recently used first. */
    private readonly uses = new Map<string, Use>();

    constructor(private readonly startedAt: number) {}

    /** Adds calls in progress, or removes them if `change` is negative. */
    add(team: string, change: number, now: number): void {
        const use = this.uses.get(team) ?? { places: 0, usual: 0, updatedAt: now };
        const averaging = Math.min(averagingMs, Math.max(minAveragingMs, now - this.startedAt));
        use.usual += (use.places - use.usual) * (1 - Math.exp(-(now - use.updatedAt) / averaging));
        use.places += change;
        use.updatedAt = now;
        this.uses.delete(team);
        this.uses.set(team, use);
        if (this.uses.size > maxTeams) {
            const oldest = [...this.uses].find(([, { places }]) => places === 0);
            this.uses.delete(oldest?.[0] ?? "");
        }
    }

    /**
     * By how much a team exceeds its usual share: 0 if it does not, otherwise a number greater than 1. Calls without a team
     * never exceed it.
     */
    excess(team: string): number {
        const use = team === "" ? undefined : this.uses.get(team);
        const ratio = use === undefined ? 0 : (use.places + 1) / (use.usual * usualFactor + extraPlaces);
        return ratio > 1 ? ratio : 0;
    }

    /** Share of a team in the usual use of all teams. */
    usualShare(team: string): number {
        let sum = 0;
        this.uses.forEach(({ usual }) => sum += usual);
        return sum === 0 ? 1 : (this.uses.get(team)?.usual ?? 0) / sum;
    }
}
