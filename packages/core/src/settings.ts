import { z } from "zod";
import { policyNames } from "./policy/create.ts";

/** An integer between `min` and `max`. Strings are accepted because flags and environment variables are strings. */
function integerField(min: number, max: number, unit: string) {
    const range = `a whole number from ${min} to ${max}${unit === "" ? "" : ` ${unit}`}`;
    return z
        .union([z.number(), z.string().regex(/^-?\d{1,16}$/).transform(Number)], { error: range })
        .refine(value => Number.isInteger(value) && value >= min && value <= max, { error: range })
        .meta({ range });
}

function textField(pattern: RegExp, range: string) {
    return z.string({ error: range }).regex(pattern, { error: range }).meta({ range });
}

const dayMs = 86_400_000;
const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;
const nameRange = "1-64 letters, digits, '.', '_' or '-', starting with a letter or digit";
const sha256 = textField(/^[0-9a-f]{64}$/, "a sha-256 in 64 lowercase hexadecimal digits");
const secret = textField(/^[!-~]{16,512}$/, "16-512 visible ASCII characters");

/** The setting fields, in the order of `--help`. */
const settingFields = {
    name: textField(namePattern, nameRange).describe(
        "Name of the daemon, unique in the cluster; also the name of its VM",
    ),
    dataCentre: textField(namePattern, nameRange).describe("Data centre of the VM"),
    address: textField(/^[0-9A-Fa-f.:]{2,45}$/, "an IP address").describe(
        "IP address to listen on and to announce to peers",
    ),
    port: integerField(0, 65_535, "").default(8080).describe("TCP port of callers and operators; 0 picks a free one"),
    peerPort: integerField(0, 65_535, "").default(8081).describe("TCP port of other daemons; 0 picks a free one"),
    platformUrl: textField(/^http:\/\/[^\s/?#]+\/?$/, "http://<address>:<port>")
        .describe("URL of the table service, object store and VM list"),
    clusterKey: secret.describe("Shared key with which daemons authenticate each other"),
    operatorKeyHash: sha256.describe("sha-256 of the operators' key (see `key hash`)"),
    sealKey: secret.describe("Key that signs seals of histories; the same on every daemon"),
    partitions: integerField(1, 4096, "").default(64).describe("Number of partitions; the same on every daemon"),
    leaseTtl: integerField(200, 60_000, "ms").default(3000).describe("Time after which an unrenewed lease expires"),
    leaseRenewal: integerField(50, 20_000, "ms").default(1000).describe(
        "Time between two lease renewals; at most half of the TTL",
    ),
    commitInterval: integerField(0, 1000, "ms").default(40).describe("Minimum time between two journal commits"),
    patience: integerField(100, dayMs, "ms").default(5000)
        .describe("Maximum estimated wait at which a new program is admitted"),
    callTimeout: integerField(100, dayMs, "ms").default(60_000).describe("Timeout of a model call"),
    toolTimeout: integerField(100, dayMs, "ms").default(30_000).describe("Timeout of a tool call"),
    idleTimeout: integerField(1000, dayMs, "ms").default(600_000).describe(
        "Time without calls after which a program is ended",
    ),
    turnLimit: integerField(1, 100_000, "").default(120).describe("Maximum number of turns of a program"),
    shutdownDeadline: integerField(0, dayMs, "ms").default(300_000).describe(
        "Maximum time for streams to finish after SIGTERM",
    ),
    maxBody: integerField(1024, 268_435_456, "bytes").default(4_194_304).describe("Maximum size of a request body"),
    maxHeader: integerField(1024, 1_048_576, "bytes").default(16_384).describe("Maximum size of a request head"),
    maxStreams: integerField(1, 1_000_000, "").default(4096).describe("Maximum number of concurrent calls of callers"),
    policy: z.enum(policyNames, { error: `one of ${policyNames.join(", ")}` })
        .meta({ range: `one of ${policyNames.join(", ")}` })
        .default("attainedService")
        .describe("Scheduling and routing policy; all but the first are baselines for measurements"),
};

/** The settings of a daemon. Times are in milliseconds, sizes in bytes. */
export const settings = z.strictObject(settingFields)
    .refine(({ leaseTtl, leaseRenewal }) => leaseRenewal * 2 <= leaseTtl, {
        // With fewer than two renewals per TTL, one lost reply would let the lease of a healthy daemon expire.
        path: ["leaseRenewal"],
        error: "at most half of lease-ttl",
    })
    .refine(({ port, peerPort }) => port === 0 || port !== peerPort, {
        path: ["peerPort"],
        error: "a port other than port",
    });

/** The settings of a daemon. Times are in milliseconds, sizes in bytes. */
export type Settings = z.infer<typeof settings>;

/** Settings whose values must not be printed. */
export const secretSettings: readonly SettingName[] = ["clusterKey", "sealKey"];

/** Name of a setting in the code, such as `leaseTtl`. */
export type SettingName = keyof Settings;

/** Description of a setting for help texts and error messages. */
export interface Setting {
    readonly name: SettingName;
    /** Name of the flag, without the leading `--`. */
    readonly flag: string;
    readonly variable: string;
    readonly range: string;
    readonly description: string;
    /** The default value as text; undefined for a required setting. */
    readonly defaultValue?: string;
}

/** All settings in the order of `--help`. */
export const settingList: readonly Setting[] = Object.entries(settingFields).map(([key, field]) => {
    const flag = key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
    const defaultValue = field instanceof z.ZodDefault ? field.def.defaultValue : undefined;
    const innerField = field instanceof z.ZodDefault ? field.def.innerType : field;
    return {
        name: key as SettingName,
        flag,
        variable: `TAMARACKGAUGE_${flag.replaceAll("-", "_").toUpperCase()}`,
        range: rangeOf(innerField),
        description: field.description ?? "",
        ...(defaultValue === undefined ? {} : { defaultValue: String(defaultValue) }),
    };
});

function rangeOf(field: z.ZodType): string {
    const range = field.meta()?.["range"];
    return typeof range === "string" ? range : "";
}

/** A setting whose value is missing or invalid. */
export interface SettingFault {
    readonly setting: Setting;
    /** The value as given, masked for a secret; undefined if the setting is missing. */
    readonly value: string | undefined;
    readonly message: string;
}

/** Validates settings given as text and reports all faults at once. */
export function checkSettings(
    given: Readonly<Partial<Record<SettingName, string>>>,
): { readonly settings: Settings; } | { readonly faults: readonly SettingFault[]; } {
    const parsed = settings.safeParse(given);
    if (parsed.success) {
        return { settings: parsed.data };
    }
    const issues = new Map(parsed.error.issues.map(issue => [issue.path[0], issue.message] as const));
    const faults = settingList
        .filter(({ name }) => issues.has(name))
        .map(setting => fault(setting, given[setting.name], issues.get(setting.name) ?? ""));
    return { faults };
}

function fault(setting: Setting, value: string | undefined, expected: string): SettingFault {
    if (value === undefined && setting.defaultValue === undefined) {
        return { setting, value, message: `is missing; expected ${setting.range}` };
    }
    const shown = secretSettings.includes(setting.name) ? "(hidden)" : value ?? setting.defaultValue;
    return { setting, value: shown, message: `${JSON.stringify(shown)} is not allowed; expected ${expected}` };
}
