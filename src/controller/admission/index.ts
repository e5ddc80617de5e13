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
} from "./types.js";
export {
  type AdmissionSummary,
  countFreeSlots,
  listWaitingFor,
  summariseAdmission,
} from "./view.js";
export { type WaitEstimate, type WaitQuestion, measureWait } from "./wait.js";
