export { isValidCapacity, type CapacityField, type InvalidCapacity } from "./capacity.js";
export { PrimaryChanger } from "./changer.js";
export {
  decodeLeadership,
  type LeaseHolder,
  emptyLeadership,
  encodeLeadership,
  type GroupLeadership,
  type LeadershipDocument,
  type VersionedLeadership,
} from "./document.js";
export { listCompleteCandidates, type LogEvidence } from "./completeness.js";
export { type Candidate, chooseCandidate, decideChange } from "./decide.js";
export { LeadershipTracker } from "./tracker.js";
export {
  findWaitEnd,
  isConfirmedByPeers,
  isPermitted,
  noMajorityWaitMs,
  maxStoreAnswerAgeMs,
  permitMs,
} from "./permit.js";
export {
  findAnswer,
  type LeadershipAnswer,
  type LeadershipPeers,
  type LeadershipPorts,
  type LeadershipStore,
  type LeadershipUpdate,
  type PeerResult,
  type PromotedPrimary,
  type PromoteOrder,
  type Promoter,
  type PromoteResult,
  type Proxy,
  type TargetRecords,
  type TargetAnswer,
  type TargetAsker,
  type TargetQuestion,
} from "./ports.js";
export { StallDetector } from "./stall.js";
export {
  findSuspicion,
  recordContact,
  recordSilence,
  type PrimaryContact,
  type Suspicion,
} from "./suspicion.js";
