import { checkDeclaration, createFinding, type Finding, type Severity, type SocketAddress, sortFindings, type Store,
    StoreError, type StoreRow } from "@tamarackgauge/core/gateway";
import type { Terminal } from "@tamarackgauge/operator";
import { createStore, declarationRow, decodeUpstream, upstreamTable } from "@tamarackgauge/platform";
import { type ConfigurationFile, type FindingPlace, maxConfigurationBytes,
    readConfiguration } from "@tamarackgauge/platform/configuration";
import { open } from "node:fs/promises";
import { smallestBufferedBytes } from "./limits.ts";

/** Exit codes of the check. */
export const checkExitCodes = { sound: 0, warnings: 1, errors: 2 } as const;

/** Arguments of the check. The version in force comes from a file or from the store, or is not compared. */
export interface ConfigurationCheckArguments {
    readonly file: string;
    readonly against: string | undefined;
    readonly store: SocketAddress | undefined;
    readonly json: boolean;
}

/** The version in force and the number of upstreams by service. */
interface InForce {
    readonly configuration: ConfigurationFile | undefined;
    readonly upstreams: ReadonlyMap<string, number> | undefined;
}

interface PlacedFinding extends FindingPlace, Pick<Finding, "kind" | "severity" | "source" | "text"> {}

/** Checks a configuration file, prints what it finds and returns the exit code. */
export async function checkConfigurationFile(terminal: Terminal, args: ConfigurationCheckArguments): Promise<number> {
    if (args.against !== undefined && args.store !== undefined) {
        terminal.error("--against and --store exclude each other");
        return checkExitCodes.errors;
    }
    try {
        const configuration = readConfiguration(await readBytes(args.file));
        const findings = findAll(configuration, await readInForce(args));
        (args.json ? printJson : printText)(terminal, args.file, findings);
        return exitCodeOf(findings);
    }
    catch (error) {
        terminal.error((error as Error).message);
        return checkExitCodes.errors;
    }
}

function findAll(configuration: ConfigurationFile, inForce: InForce): readonly PlacedFinding[] {
    const { listed } = configuration;
    const current = inForce.configuration?.listed;
    const findings = sortFindings([
        ...configuration.findings,
        ...inForce.configuration !== undefined && current === undefined
            ? [createFinding("inForceUnreadable", [],
                "the version in force cannot be read, so nothing is compared with it", "inForce")]
            : [],
        ...listed === undefined ?
            [] :
            checkDeclaration({ next: listed, current, upstreams: inForce.upstreams,
                bufferedBytes: smallestBufferedBytes }),
    ]);
    return findings.map(finding => {
        const { kind, severity, source, text } = finding;
        const file = source === "inForce" ? inForce.configuration! : configuration;
        return { kind, severity, source, ...file.locate(finding), text };
    });
}

/** Reads a file up to one byte more than a configuration may have, so that an endless one does not fill the memory. */
async function readBytes(path: string): Promise<Buffer> {
    try {
        await using file = await open(path);
        const chunks: Buffer[] = [];
        let length = 0;
        for await (const chunk of file.createReadStream({ end: maxConfigurationBytes, autoClose: false })) {
            chunks.push(chunk as Buffer);
            length += (chunk as Buffer).length;
        }
        return Buffer.concat(chunks, length);
    }
    catch (error) {
        throw new Error(`${path} cannot be read: ${(error as Error).message}`);
    }
}

async function readInForce({ against, store: address }: ConfigurationCheckArguments): Promise<InForce> {
    if (against !== undefined) {
        return { configuration: readConfiguration(await readBytes(against)), upstreams: undefined };
    }
    if (address === undefined) {
        return { configuration: undefined, upstreams: undefined };
    }
    await using store = createStore(address);
    try {
        const { table, part, key } = declarationRow;
        const [row] = (await store.read({ table, part, from: key, limit: 1 }, storeCallOptions)).rows;
        return {
            configuration: row?.key === key ? readConfiguration(row.value) : undefined,
            upstreams: countUpstreams(await readUpstreamRows(store)),
        };
    }
    catch (error) {
        const reason = error instanceof StoreError ? error.message : String(error);
        throw new Error(`the store at ${address.host}:${address.port} cannot be read: ${reason}`);
    }
}

const storeCallOptions = { timeout: 5_000 };

async function readUpstreamRows(store: Store): Promise<readonly StoreRow[]> {
    const rows: StoreRow[] = [];
    let from: string | undefined;
    for (;;) {
        const page = await store.read({ ...upstreamTable, from }, storeCallOptions);
        rows.push(...page.rows);
        const last = page.rows.at(-1);
        if (!page.more || last === undefined) {
            return rows;
        }
        // The smallest key after the last one of the page.
        from = `${last.key}\0`;
    }
}

/** Upstreams that are about to leave or cannot be decoded do not count. */
function countUpstreams(rows: readonly StoreRow[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { key, value } of rows) {
        const entry = decodeUpstream(key, value);
        if (entry !== undefined && !entry.draining) {
            counts.set(entry.service, (counts.get(entry.service) ?? 0) + 1);
        }
    }
    return counts;
}

const maxPrintedFindings = 100;

function printText(terminal: Terminal, file: string, findings: readonly PlacedFinding[]): void {
    for (const { kind, severity, source, path, line, column, text } of findings.slice(0, maxPrintedFindings)) {
        const place = source === "inForce" ? `in force:${line}:${column}` : `${file}:${line}:${column}`;
        terminal.out(`${place} ${severity} ${kind} ${path}: ${text}`);
    }
    if (findings.length > maxPrintedFindings) {
        terminal.out(`${findings.length - maxPrintedFindings} more are not shown`);
    }
    const counts = countSeverities(findings);
    terminal.out(`${file}: ${counts.error} errors, ${counts.warning} warnings, ${counts.note} notes`);
}

function printJson(terminal: Terminal, file: string, findings: readonly PlacedFinding[]): void {
    terminal.out(JSON.stringify({ file, ...countSeverities(findings), findings }, undefined, 4));
}

function countSeverities(findings: readonly PlacedFinding[]): Readonly<Record<Severity, number>> {
    const count = (severity: Severity) => findings.filter(each => each.severity === severity).length;
    return { error: count("error"), warning: count("warning"), note: count("note") };
}

function exitCodeOf(findings: readonly PlacedFinding[]): number {
    const { error, warning } = countSeverities(findings);
    return error > 0 ? checkExitCodes.errors : warning > 0 ? checkExitCodes.warnings : checkExitCodes.sound;
}
