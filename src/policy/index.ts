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
  type PrimaryAnswer,
  emptyHistory,
  findAge,
  findMarkSince,
  findNewestMark,
  findReachedAt,
  observePrimary,
} from "./history.js";
export { type Progress, findCatchUp, observeReplica } from "./progress.js";
export {
  type PrimaryReason,
  type ReadDemand,
  type ReadRoute,
  type ReadScene,
  type ReadTarget,
  routeRead,
} from "./route.js";
export {
  type FailedTry,
  type RetryBudget,
  type RetryPlan,
  fullRetryBudget,
  noteFirstTry,
  planRetry,
} from "./retry.js";
export {
  type IdempotencyRecord,
  type KeyedPlan,
  type KeyedRetry,
  canRetryKeyed,
  planKeyedWrite,
} from "./idempotency.js";
export { chooseOwner, hashPair, orderOwners } from "./owner.js";
