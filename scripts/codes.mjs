// Generates docs/codes.md from the table of result codes. Run it with: node --import tsx scripts/codes.mjs
import { writeFileSync } from "node:fs";
import { codePage } from "../packages/core/src/codePage.ts";

writeFileSync("docs/codes.md", codePage());
