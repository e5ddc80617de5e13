export { type Confirmation } from "./confirmations.js";
export { GroupWatch } from "./groupwatch.js";
export { type MarkReading } from "./reading.js";
export {
  type FailoverPhases,
  type WatchOptions,
  type WatchPorts,
  type WatchSafeguards,
} from "./ports.js";
export { findMajorityConfirmedAt } from "./view.js";
