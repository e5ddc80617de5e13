export { runSoak, type SoakOptions, type SoakReport } from "./run.js";
