export {
  type AcquireResult,
  type HeldConnection,
  type PooledSession,
  type PoolPorts,
  TargetPool,
  type TargetPoolOptions,
} from "./pool.js";
export {
  type ResumeResult,
  type Slot,
  SlotQueue,
  type SlotResult,
  type SlotWait,
} from "./slots.js";
export { Ticker } from "./ticker.js";
export { Waiters } from "./waiters.js";
