export {
  type AcknowledgementState,
  applyStatusAnswer,
  type AskEffect,
  beginAcknowledgement,
  type StatusAnswer,
  type PendingWrite,
} from "./acknowledgement.js";
export { type AcknowledgeSafeguards, allAcknowledgeSafeguards } from "./options.js";
