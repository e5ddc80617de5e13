export {
  applyDrainEvent,
  initialDrainState,
  type DrainEffect,
  type DrainEvent,
  type DrainOptions,
  type DrainState,
} from "./drain.js";
