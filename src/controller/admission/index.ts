export {
  type AdmissionResult,
  applyAdmission,
  createAdmission,
  defaultAdmissionSettings,
} from "./step.js";
export {
  type Admission,
  type AdmissionEffect,
  type AdmissionEvent,
  type AdmissionFailure,
  type AdmissionRequest,
  type AdmissionSettings,
  type ClassName,
} from "./types.js";
export { findClassName, maxLevel } from "./classes.js";
export {
  type AdmissionSummary,
  countFreeSlots,
  countWaitingForConnection,
  listSlotUse,
  listWaitingOnlyFor,
  type SlotUse,
  summariseAdmission,
  summariseQueue,
  type QueueSummary,
} from "./view.js";
export { listResuming } from "./hold.js";
export { previewRequest, type RequestPreview } from "./preview.js";
export { type WaitEstimate, type RequestProfile, estimateWait } from "./wait.js";
