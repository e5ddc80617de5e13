export {
  type ControlRequest,
  type ElectionReason,
  type FailoverEffect,
  type FailoverEvent,
  type FailoverNote,
  type PeerFinding,
} from "./event.js";
export {
  allFailoverSafeguards,
  createTimings,
  defaultHeartbeatMs,
  defaultTimings,
  type FailoverOptions,
  type FailoverSafeguards,
  type FailoverTimings,
} from "./options.js";
export { findLeadership, isCutOff, isLeading, isSuperseded } from "./leader.js";
export {
  createFailoverState,
  type FailoverState,
  getLatenessTolerance,
  type Leadership,
} from "./state.js";
export { chooseCandidate } from "./elect.js";
export { applyEvent } from "./step.js";
export { findWakeAt } from "./tick.js";
