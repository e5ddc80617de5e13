export { compareWays, works, type Comparison, type Ways } from "./statements.js";
export { measureIdle, type IdleCost } from "./idle.js";
