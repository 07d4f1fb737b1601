import { lease, ledger, ownership, programStep } from "@tamarackgauge/core";
import type { Lease, Ledger, Ownership, ProgramStep } from "@tamarackgauge/core";
import { pack, unpack } from "msgpackr";
import { z } from "zod";

/** Keys of the rows in the table service. */
export const keys = {
    ownership: "ownership",
    lease: (name: string) => `lease/${name}`,
    ledger: (plan: string) => `budget/${plan}`,
    journal: (partition: number) => `journal/${String(partition).padStart(5, "0")}/`,
    segment: (partition: number, segment: number) =>
        `journal/${String(partition).padStart(5, "0")}/${String(segment).padStart(10, "0")}`,
    configurationHead: "config/head",
    configurationChange: (version: number) => `config/log/${String(version).padStart(10, "0")}`,
};

/** Number of the segment that a journal key names. */
export function segmentOf(key: string): number {
    return Number(key.slice(key.lastIndexOf("/") + 1));
}

function codecOf<Value>(schema: z.ZodType<Value>) {
    return {
        encode: (value: Value): Buffer => pack(value),
        /** Throws when the row does not hold what the schema says. */
        decode: (bytes: Buffer): Value => schema.parse(unpack(bytes)),
    };
}

/** Codecs of the rows. */
export const leaseRow = codecOf<Lease>(lease);
export const ledgerRow = codecOf<Ledger>(ledger);
export const ownershipRow = codecOf<Ownership>(ownership);
export const segmentRow = codecOf<ProgramStep[]>(z.array(programStep));
