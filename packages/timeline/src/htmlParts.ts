import type { Phase } from "./phase.ts";

/** The colour of each phase in bars and legend. */
export const phaseColours: Readonly<Record<Phase, string>> = {
    admission: "#c9d3dc",
    forward: "#a5b8c9",
    order: "#f2c14e",
    queue: "#f08a4b",
    dispatch: "#b8a1d9",
    firstToken: "#7fb2e5",
    tokens: "#8fce9b",
    commit: "#5fb3a8",
    retry: "#e2737f",
};

/** The style sheet of the page. */
export const pageStyle = `
body { font: 15px/1.5 system-ui, sans-serif; max-width: 1100px; margin: 1em auto; padding: 0 1em; color: #1c2530; }
h2 { border-bottom: 1px solid #ccc; overflow-wrap: anywhere; }
h3 { margin-bottom: 0; overflow-wrap: anywhere; }
.request { border-left: 4px solid #8fce9b; padding-left: 1em; margin: 1.5em 0; }
.request.refused, .request.cancelled { border-color: #e2737f; }
.request.unknown, .request.open { border-color: #f2c14e; }
.legend { list-style: none; padding: 0; columns: 2; font-size: 13px; }
.colour { display: inline-block; width: 1em; height: 1em; margin-right: .4em; vertical-align: -2px; }
.bar { display: flex; height: 1.6em; font-size: 12px; background: #eee; }
.bar span { overflow: hidden; white-space: nowrap; padding: 2px 0 0 2px; min-width: 1px; flex-basis: 0; }
table { border-collapse: collapse; font-size: 13px; }
td, th { text-align: left; padding: 1px 10px 1px 0; vertical-align: top; overflow-wrap: anywhere; }
svg { width: 100%; height: auto; font-size: 11px; }
.warning { color: #a33; }
[hidden] { display: none; }
`;

/** Hides the programs and requests whose names do not contain the text of the two fields. */
export const filterScript = `
"use strict";
const fields = ["program", "request"].map(name => document.getElementById(name));
function apply() {
    const [program, request] = fields.map(field => field.value.trim());
    for (const section of document.querySelectorAll("section.program")) {
        let shown = 0;
        for (const part of section.querySelectorAll("section.request")) {
            part.hidden = !part.dataset.request.includes(request);
            shown += part.hidden ? 0 : 1;
        }
        section.hidden = !section.dataset.program.includes(program) || (request !== "" && shown === 0);
    }
}
fields.forEach(field => field.addEventListener("input", apply));
`;
