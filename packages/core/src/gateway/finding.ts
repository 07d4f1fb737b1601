/** An error must not be sent, a warning may be intended, a note only informs. */
export type Severity = "error" | "warning" | "note";

/** Severity of each kind of finding. Within a severity, the riskiest kind comes first, and findings are listed so. */
const severities = {
    unreadable: "error",
    syntax: "error",
    duplicateField: "error",
    invalid: "error",
    staleVersion: "error",
    undeclaredService: "error",
    duplicateService: "error",
    sharedKey: "error",
    duplicateTeam: "error",
    unusableTeamName: "error",

    keysRequired: "warning",
    keyWithdrawn: "warning",
    keyMoved: "warning",
    teamDropped: "warning",
    quotaLowered: "warning",
    keysNotRequired: "warning",
    routeDropped: "warning",
    routeRepeatable: "warning",
    routeTypeChanged: "warning",
    routeServicesChanged: "warning",
    serviceDropped: "warning",
    capacityRaised: "warning",
    modelChanged: "warning",
    limitLowered: "warning",

    noTeams: "warning",
    unlimitedTeam: "warning",
    burstBelowRequest: "warning",
    unusableKey: "warning",
    teamWithoutKeys: "warning",
    hiddenRoute: "warning",
    unreachableRoute: "warning",
    noRoutes: "warning",
    refusingLimit: "warning",
    bodyAboveMemory: "warning",
    retentionBelowPause: "warning",
    timeoutBelowTarget: "warning",
    intervalAboveTimeout: "warning",
    attemptsAboveUpstreams: "warning",
    noUpstreams: "warning",
    zeroWeight: "warning",
    duplicateShare: "warning",
    unusedService: "warning",
    duplicateRouteName: "warning",
    duplicateKey: "warning",
    openPrefix: "warning",
    ineffectiveField: "warning",
    unknownField: "warning",
    inForceUnreadable: "warning",

    limitRaised: "note",
    changed: "note",
    added: "note",
} as const satisfies Record<string, Severity>;

/** What a finding is about. */
export type FindingKind = keyof typeof severities;

/** Fields and indexes that lead to a part of a declaration. */
export type FindingPath = readonly (string | number)[];

/** Something that operators should know about a declaration before they send it. */
export interface Finding {
    readonly kind: FindingKind;
    readonly severity: Severity;
    /** The declaration that `path` belongs to. What is dropped stands only in the one in force. */
    readonly source: "checked" | "inForce";
    readonly path: FindingPath;
    /** A sentence for operators. It holds no key. */
    readonly text: string;
}

/** Creates a finding about the declaration that is checked, or about the one in force. */
export function createFinding(kind: FindingKind, path: FindingPath, text: string,
    source: Finding["source"] = "checked"): Finding {
    return { kind, severity: severities[kind], source, path, text };
}

const kinds = Object.keys(severities);
const severityOrder: readonly Severity[] = ["error", "warning", "note"];

/** Orders findings by severity, then by risk; those of one kind keep their order. */
export function sortFindings(findings: readonly Finding[]): readonly Finding[] {
    const rank = ({ kind, severity }: Finding) => severityOrder.indexOf(severity) * kinds.length + kinds.indexOf(kind);
    return [...findings].sort((left, right) => rank(left) - rank(right));
}

const maxQuotedLength = 80;
/** Characters that terminals interpret or that reorder a line: controls and formats. */
const unprintable = /[\p{Cc}\p{Cf}\u2028\u2029]/gu;

/** Quotes a name from a declaration, shortened and without characters that a terminal interprets. */
export function quoteName(name: string): string {
    const shown = name.length > maxQuotedLength ? `${name.slice(0, maxQuotedLength)}...` : name;
    return `"${shown.replace(unprintable, toEscape).replaceAll("\"", "\\\"")}"`;
}

function toEscape(character: string): string {
    return `\\u{${character.codePointAt(0)!.toString(16)}}`;
}
