export {
  type AcknowledgementState,
  applyEvidence,
  type AskEffect,
  beginAcknowledgement,
  type Evidence,
  type PendingWrite,
} from "./acknowledgement.js";
export { type AcknowledgeSafeguards, allAcknowledgeSafeguards } from "./options.js";
