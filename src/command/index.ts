export { type CommandContext, type Flags } from "./context.js";
export { exitCodes, type ExitCode } from "./exit.js";
export { type CommandFailure, toCommandFailure } from "./errors.js";
export { createContext, defaultHealthOffset } from "./wiring.js";
export { runProgram } from "./program.js";
export { createProxyReader, type ProxyReader, type ProxySummary } from "./proxies.js";
export { proxyReport, type ProxyReport } from "../report/index.js";
