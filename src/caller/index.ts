export { CallerServer, type CallerServerOptions } from "./server.js";
export { type CallerLimits, defaultCallerLimits } from "./limits.js";
export { type RuleDecision } from "./chain.js";
export { tokenParameter } from "./startup.js";
