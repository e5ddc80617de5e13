export {
  applyDrainEvent,
  firstDrainState,
  type DrainEffect,
  type DrainEvent,
  type DrainOptions,
  type DrainState,
} from "./drain.js";
