import { escapeControlCharacters } from "./format.ts";

const entities: Readonly<Record<string, string>> = {
    "&": "&amp;",
    "<": "&lt;",
    ">": "&gt;",
    "\"": "&quot;",
    "'": "&#39;",
};

/** Escapes text for HTML elements and quoted attributes, with control characters made visible. */
export function escapeHtml(text: string): string {
    return escapeControlCharacters(text).replace(/[&<>"']/g, character => entities[character]!);
}
