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
  emptyHistory,
  findAge,
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
