export { type Confirmation } from "./confirmations.js";
export { GroupWatch } from "./groupwatch.js";
export { type MarkReading } from "./reading.js";
export {
  type GapSplit,
  type WatchOptions,
  type WatchPorts,
  type WatchSafeguards,
} from "./ports.js";
export { findBackedAt } from "./view.js";
