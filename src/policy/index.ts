export { type ConditionPart } from "./compile.js";
export { defaultRules, findDefaultRule } from "./defaults.js";
export {
  type MatchExplanation,
  type RuleFinding,
  explainMatch,
  matchRule,
  resolveRoute,
} from "./match.js";
export {
  type PositionHistory,
  type PrimaryStatusAnswer,
  emptyHistory,
  findMaxAgeMs,
  findMarkSince,
  findNewestMark,
  findReachedAt,
  observePrimary,
} from "./history.js";
export { type ReplicationProgress, estimateCatchUpMs, observeReplica } from "./progress.js";
export {
  type PrimaryReason,
  type ReadConstraints,
  type ReadRoute,
  type RoutingSnapshot,
  type ReadTarget,
  routeRead,
} from "./route.js";
export {
  type FailedAttempt,
  type RetryBudget,
  type RetryPlan,
  fullRetryBudget,
  recordFirstAttempt,
  planRetry,
} from "./retry.js";
export {
  type IdempotencyRecord,
  type KeyedWritePlan,
  type KeyedWriteFailure,
  canRetryKeyedWrite,
  planKeyedWrite,
} from "./idempotency.js";
export { chooseOwner, hashPair, orderOwners } from "./owner.js";
