export { Child, Children, resolveBuiltPath, type LogLine } from "./children.js";
export { findFreePort } from "./port.js";
export {
  startSystem,
  type RunningProxy,
  type RunningSystem,
  type SystemOptions,
} from "./system.js";
