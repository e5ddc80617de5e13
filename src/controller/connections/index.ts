export {
  countAgainstLimit,
  createPool,
  defaultConnectionSettings,
  listConnections,
  listUnservedWaiters,
} from "./pool.js";
export { applyConnections, type ConnectionResult } from "./step.js";
export {
  type CloseReason,
  type Connection,
  type ConnectionEffect,
  type ConnectionEvent,
  type ConnectionFailure,
  type ConnectionSettings,
  type Pool,
  type Waiter,
} from "./types.js";
