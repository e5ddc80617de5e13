// Writes docs/EVENTS.md from the built events.
import { writeFileSync } from "node:fs";
import { format } from "prettier";
import { loadEvents, renderCatalogue } from "../dist/src/log/index.js";

const events = await loadEvents("dist/src/log/events");
const page = await format(renderCatalogue(events), { parser: "markdown", printWidth: 100 });
writeFileSync("docs/EVENTS.md", page);
