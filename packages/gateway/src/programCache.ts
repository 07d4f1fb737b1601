import { createHash } from "node:crypto";
import { readFileSync, writeFileSync } from "node:fs";
import { createRequire, Module } from "node:module";
import { dirname } from "node:path";
import { Script } from "node:vm";

const digestAlgorithm = "sha1";
const digestBytes = 20;

/** Path of the file that holds the compiled code of a bundle. */
function cacheFileOf(file: string): string {
    return file.replace(/\.cjs$/, ".cache");
}

/**
 * Loads a bundle. Its compiled code is taken from the file that `writeProgramCache` wrote; if that is missing, does not belong
 * to the bundle, or was written by another version of Node.js or with other flags, the bundle is compiled.
 */
export function loadProgram(file: string): unknown {
    return compileAndRun(file, readFileSync(file, "utf8")).exports;
}

/** Loads a bundle and writes the code that was compiled meanwhile to the file beside it. */
export function writeProgramCache(file: string): void {
    const source = readFileSync(file, "utf8");
    const code = compileAndRun(file, source).script.createCachedData();
    writeFileSync(cacheFileOf(file), Buffer.concat([digestOf(source, code), code]));
}

function compileAndRun(file: string, source: string): { readonly exports: unknown; readonly script: Script; } {
    const cachedData = readCode(file, source);
    const script = new Script(Module.wrap(source),
        cachedData === undefined ? { filename: file } : { filename: file, cachedData });
    const module = { exports: {} };
    const run = script.runInThisContext() as (...values: unknown[]) => void;
    run(module.exports, createRequire(file), module, file, dirname(file));
    return { exports: module.exports, script };
}

/** The digest is checked because V8 takes code whose bytes have changed as it is. */
function readCode(file: string, source: string): Buffer | undefined {
    try {
        const content = readFileSync(cacheFileOf(file));
        const code = content.subarray(digestBytes);
        return digestOf(source, code).equals(content.subarray(0, digestBytes)) ? code : undefined;
    }
    catch {
        // The program starts without the file, only later.
        return undefined;
    }
}

function digestOf(source: string, code: Buffer): Buffer {
    return createHash(digestAlgorithm).update(source).update(code).digest();
}
