export { formatReport } from "./report.js";
export { type LoadReport, runLoad, SetUpError } from "./run.js";
export { type LoadSettings, loadLoadSettings, type Population } from "./settings.js";
export { type TallyReport, type LatencySummary } from "./tally.js";
