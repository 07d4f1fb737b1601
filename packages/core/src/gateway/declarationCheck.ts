import { findDeclarationChanges, type ListedDeclaration } from "./declarationChanges.ts";
import { type CheckContext, findDeclarationFaults } from "./declarationFaults.ts";
import { type Finding, sortFindings } from "./finding.ts";

/** A declaration to be checked and what it is checked against. */
export interface DeclarationCheck extends Omit<CheckContext, "serviceNames"> {
    readonly next: ListedDeclaration;
    /** The declaration in force; undefined if there is none or it is not known. */
    readonly current: ListedDeclaration | undefined;
}

/** Checks a declaration before it is sent. The riskiest findings come first. */
export function checkDeclaration({ next, current, ...context }: DeclarationCheck): readonly Finding[] {
    return sortFindings([
        ...findDeclarationFaults(next.declaration, { ...context, serviceNames: next.serviceNames }),
        ...current === undefined ? [] : findDeclarationChanges(next, current),
    ]);
}
