import { isDeepStrictEqual } from "node:util";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import { formatPath, type JsonPath, type LocatedJson, parseJson } from "./json.ts";

/** Upper bound of a plan's budget in tokens; keeps sums of budgets within exact integers. */
export const maxBudgetTokens = 1_000_000_000_000_000;

/** Upper bound of `programsAtOnce`, three times the number of programs that the system is designed for. */
export const maxProgramsAtOnce = 1_000_000;

/** Limits the reported problems, since finding the line of each one scans the text from the start. */
const maxReportedProblems = 100;

const name = z.string().regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/,
    "must be 1-64 letters, digits, '.', '_' or '-' and start with a letter or digit",
);
const upstreamName = z.string().regex(/^[!-~]{1,128}$/, "must be 1-128 visible ASCII characters");
const keyHash = z.string().regex(/^[0-9a-f]{64}$/, "must be a sha-256 in 64 lowercase hexadecimal digits");

/** A plan and the sha-256 hashes of its callers' keys. */
export const plan = z.strictObject({ name, keys: z.array(keyHash).max(100) });
export type Plan = z.infer<typeof plan>;

/** Models, services and limits of a plan. A budget or limit of 0 rejects all calls. */
export const allowance = z.strictObject({
    plan: name,
    models: z.array(upstreamName).max(1000),
    services: z.array(upstreamName).max(1000).default([]),
    /** Total number of tokens that the plan's programs may generate. */
    budgetTokens: z.int().min(0).max(maxBudgetTokens),
    programsAtOnce: z.int().min(0).max(maxProgramsAtOnce),
});
export type Allowance = z.infer<typeof allowance>;

/** The plans and allowances in an operator's file. `version` is the version that the file is based on. */
export const configurationFile = z.strictObject({
    version: z.int().min(0).default(0),
    plans: z.array(plan).max(100_000),
    allowances: z.array(allowance).max(100_000),
});

/** The configuration in force. Lists are sorted by plan name, so that equal configurations have equal JSON texts. */
export const configuration = configurationFile;
export type Configuration = z.infer<typeof configuration>;

/** The plans and allowances of a configuration, without its version. */
export type ConfigurationLists = Pick<Configuration, "plans" | "allowances">;

/** Problem codes, documented in docs/configuration.md. The meaning of a code never changes. */
export const problemCodes = {
    syntax: 101,
    duplicate_field: 102,
    unknown_field: 103,
    missing_field: 104,
    wrong_type: 105,
    out_of_range: 106,
    invalid_value: 107,
    duplicate_plan: 201,
    duplicate_key: 202,
    duplicate_allowance: 203,
    unknown_plan: 204,
    plan_without_allowance: 205,
    duplicate_name: 206,
} as const;

/** An error in a configuration file. Lines and columns start at 1. */
export interface Problem {
    readonly code: number;
    readonly name: keyof typeof problemCodes;
    readonly line: number;
    readonly column: number;
    /** Path of the field, such as `allowances[0].budgetTokens`. */
    readonly field: string;
    readonly message: string;
}

interface Finding {
    readonly name: keyof typeof problemCodes;
    readonly path: JsonPath;
    readonly message: string;
}

/** Checks a configuration file (JSON). Returns the configuration or the first 100 problems in the order of the text. */
export function checkConfiguration(text: string): Either<readonly Problem[], Configuration> {
    // Some editors add a byte order mark at the start of a file.
    return parseJson(text.replace(/^\uFEFF/, ""))
        .mapLeft(({ line, column, message }): readonly Problem[] => [
            { code: problemCodes.syntax, name: "syntax", line, column, field: "(file)", message },
        ])
        .chain(checkLocatedJson);
}

/** Creates a configuration with the given version; the lists are sorted by plan name. */
export function createConfiguration(version: number, { plans, allowances }: ConfigurationLists): Configuration {
    return {
        version,
        plans: [...plans].sort((a, b) => compare(a.name, b.name)),
        allowances: [...allowances].sort((a, b) => compare(a.plan, b.plan)),
    };
}

/** Formats a problem as one line of text. */
export function formatProblem({ line, column, code, field, message }: Omit<Problem, "name">): string {
    return `${line}:${column} ${code} ${field}: ${message}`;
}

function checkLocatedJson(json: LocatedJson): Either<readonly Problem[], Configuration> {
    const duplicates = json.duplicates.map((path): Finding => ({
        name: "duplicate_field",
        path,
        message: "the field occurs twice",
    }));
    const parsed = configurationFile.safeParse(json.value);
    const found = parsed.success
        ? referenceFindings(parsed.data)
        : uniqueFindings(parsed.error.issues.flatMap(issue => schemaFindings(issue)));
    const findings = [...duplicates, ...found];
    if (findings.length > 0 || !parsed.success) {
        return Left(locateFindings(json, findings));
    }
    return Right(createConfiguration(parsed.data.version, parsed.data));
}

function locateFindings(json: LocatedJson, findings: readonly Finding[]): readonly Problem[] {
    return findings
        .map(finding => ({ ...finding, offset: json.offsetOf(finding.path) }))
        .sort((a, b) => a.offset - b.offset)
        .slice(0, maxReportedProblems)
        .map(({ name, path, message, offset }) => ({
            code: problemCodes[name],
            name,
            ...json.positionAt(offset),
            field: formatPath(path),
            message,
        }));
}

/** Removes repeated findings: zod reports a number outside the range of exact integers twice. */
function uniqueFindings(findings: readonly Finding[]): readonly Finding[] {
    return [...new Map(findings.map(each => [JSON.stringify([each.name, each.path]), each])).values()];
}

function schemaFindings(issue: z.core.$ZodIssue): readonly Finding[] {
    const path = issue.path.filter(step => typeof step !== "symbol");
    switch (issue.code) {
        case "unrecognized_keys":
            return issue.keys.map(key => ({
                name: "unknown_field",
                path: [...path, key],
                message: "there is no such field",
            }));
        case "invalid_type":
            return [
                issue.message.endsWith("received undefined")
                    ? { name: "missing_field", path, message: `the field is missing; it must be ${issue.expected}` }
                    : { name: "wrong_type", path, message: `must be ${issue.expected}` },
            ];
        case "too_small":
            return [{ name: "out_of_range", path, message: `must be at least ${issue.minimum}` }];
        case "too_big":
            return [{ name: "out_of_range", path, message: `must be at most ${issue.maximum}` }];
        default:
            return [{ name: "invalid_value", path, message: issue.message }];
    }
}

function referenceFindings({ plans, allowances }: ConfigurationLists): readonly Finding[] {
    const planNames = new Set(plans.map(each => each.name));
    const plansWithAllowance = new Set(allowances.map(each => each.plan));
    return [
        ...duplicateFindings(plans.map(each => [each.name]), "duplicate_plan", "another plan has this name",
            at => ["plans", at, "name"]),
        ...duplicateFindings(plans.map(each => each.keys), "duplicate_key",
            "this key is listed before; a key must identify one plan", (at, key) => ["plans", at, "keys", key]),
        ...duplicateFindings(allowances.map(each => [each.plan]), "duplicate_allowance",
            "the plan has another allowance", at => ["allowances", at, "plan"]),
        ...allowances.flatMap((each,
            at) => [...duplicateNameFindings(each, at, "models"), ...duplicateNameFindings(each, at, "services")]
        ),
        ...missingFindings(allowances.map(each => each.plan), planNames, "unknown_plan", "there is no plan",
            at => ["allowances", at, "plan"]),
        ...missingFindings(plans.map(each => each.name), plansWithAllowance, "plan_without_allowance",
            "there is no allowance for the plan", at => ["plans", at, "name"]),
    ];
}

function duplicateNameFindings(allowance: Allowance, allowanceIndex: number,
    list: "models" | "services"): readonly Finding[] {
    return duplicateFindings([allowance[list]], "duplicate_name", "the name is listed before",
        (_, index) => ["allowances", allowanceIndex, list, index]);
}

/** Reports each value that already occurred in the same or an earlier group. The groups are in file order. */
function duplicateFindings(
    groups: readonly (readonly string[])[],
    name: Finding["name"],
    message: string,
    pathOf: (group: number, index: number) => JsonPath,
): readonly Finding[] {
    const seen = new Set<string>();
    const findings: Finding[] = [];
    groups.forEach((group, groupIndex) =>
        group.forEach((value, index) => {
            if (seen.has(value)) {
                findings.push({ name, path: pathOf(groupIndex, index), message });
            }
            seen.add(value);
        })
    );
    return findings;
}

function missingFindings(
    values: readonly string[],
    knownNames: ReadonlySet<string>,
    name: Finding["name"],
    message: string,
    pathOf: (index: number) => JsonPath,
): readonly Finding[] {
    return values.flatMap((value, index) =>
        knownNames.has(value) ? [] : [{ name, path: pathOf(index), message: `${message} "${value}"` }]
    );
}

/** The difference between two versions: only the entries that differ. */
export const change = z.strictObject({
    version: z.int().min(1),
    plans: z.array(plan),
    allowances: z.array(allowance),
    /** Names of plans that were removed together with their allowances. */
    removed: z.array(name),
});
export type Change = z.infer<typeof change>;

/** Computes the change from `before` to `after`; its version is that of `after`. */
export function diffConfiguration(before: Configuration, after: Configuration): Change {
    const remainingPlans = new Set(after.plans.map(each => each.name));
    return {
        version: after.version,
        plans: changedItems(before.plans, after.plans, each => each.name),
        allowances: changedItems(before.allowances, after.allowances, each => each.plan),
        removed: before.plans.map(each => each.name).filter(each => !remainingPlans.has(each)),
    };
}

/** Applies a change. A change that is not newer than `before` is ignored, so that versions only increase (I10). */
export function applyChange(before: Configuration, change: Change): Configuration {
    if (change.version <= before.version) {
        return before;
    }
    const removed = new Set(change.removed);
    const plans = mergeItems(before.plans, change.plans, each => each.name);
    const allowances = mergeItems(before.allowances, change.allowances, each => each.plan);
    return createConfiguration(change.version, {
        plans: plans.filter(each => !removed.has(each.name)),
        allowances: allowances.filter(each => !removed.has(each.plan)),
    });
}

function changedItems<Item>(before: readonly Item[], after: readonly Item[], keyOf: (item: Item) => string): Item[] {
    const previousByKey = new Map(before.map(item => [keyOf(item), item]));
    return after.filter(item => !isDeepStrictEqual(previousByKey.get(keyOf(item)), item));
}

function mergeItems<Item>(before: readonly Item[], next: readonly Item[], keyOf: (item: Item) => string): Item[] {
    return [...new Map([...before, ...next].map(item => [keyOf(item), item])).values()];
}

function compare(a: string, b: string): number {
    return a < b ? -1 : a > b ? 1 : 0;
}

/** Looks up plans and allowances of one configuration in constant time. */
export interface ConfigurationIndex {
    readonly version: number;
    /** The plan that the key with this hash belongs to. */
    planByKeyHash(hash: string): Plan | undefined;
    allowance(plan: string): Allowance | undefined;
    mayUseModel(plan: string, model: string): boolean;
    mayUseService(plan: string, service: string): boolean;
}

/** Builds the index of a configuration. With 12,000 plans, a linear search on each call would take milliseconds. */
export function createConfigurationIndex({ version, plans, allowances }: Configuration): ConfigurationIndex {
    const byHash = new Map(plans.flatMap(each => each.keys.map(hash => [hash, each] as const)));
    const byPlan = new Map(allowances.map(each => [each.plan, each] as const));
    return {
        version,
        planByKeyHash: hash => byHash.get(hash),
        allowance: name => byPlan.get(name),
        mayUseModel: (name, model) => byPlan.get(name)?.models.includes(model) ?? false,
        mayUseService: (name, service) => byPlan.get(name)?.services.includes(service) ?? false,
    };
}

const indexes = new WeakMap<Configuration, ConfigurationIndex>();

/** The index of a configuration, built once per configuration object. */
export function configurationIndexOf(configuration: Configuration): ConfigurationIndex {
    let index = indexes.get(configuration);
    if (index === undefined) {
        index = createConfigurationIndex(configuration);
        indexes.set(configuration, index);
    }
    return index;
}
