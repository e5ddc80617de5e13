export { type CommandContext, type Flags } from "./context.js";
export { exitCodes, type ExitCode } from "./exit-codes.js";
export { type CommandFailure, toCommandFailure } from "./errors.js";
export { createContext, defaultHealthPortOffset } from "./create-context.js";
export { runProgram } from "./program.js";
export { createProxyHttpClient, type ProxyHttpClient, type ProxySummary } from "./proxy-client.js";
export { proxyReport, type ProxyReport } from "../report/index.js";
