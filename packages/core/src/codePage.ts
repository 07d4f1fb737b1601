import { codes } from "./code.ts";

/** The text of docs/codes.md. `scripts/codes.mjs` writes it. */
export function codePage(): string {
    const rows = Object.entries(codes)
        .map(([name, { code, message }]) => ({ name, code, message }))
        .sort((a, b) => a.code - b.code)
        .map(({ name, code, message }) => `| ${code} | \`${name}\` | ${Math.floor(code / 10)} | ${message} |`);
    return `${pageHeader}\n${rows.join("\n")}\n`;
}

const pageHeader = `# Result codes

A code has four digits: the HTTP status and one more digit. A code never changes its meaning. A refusal has this shape:

\`\`\`json
{"error": {"code": 4291, "name": "budget_spent", "message": "...", "run": "notRun", "retryAfterMs": 1200}}
\`\`\`

\`run\` is \`notRun\` when the request is known not to have run, so that it may be sent again. It is \`unknown\` when that
cannot be known. \`retryAfterMs\`, when present, is the time in milliseconds after which to ask again; the
\`retry-after\` header gives it in seconds. In a stream that has begun, the same object arrives as \`event: error\`.

This page is written by \`node --import tsx scripts/codes.mjs\` from \`packages/core/src/code.ts\`.

| code | name | HTTP status | message |
| --- | --- | --- | --- |`;
