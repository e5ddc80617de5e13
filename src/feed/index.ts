export {
  type GroupRecord,
  type ListedTarget,
  type PlatformFeed,
  type InvalidEntry,
  type LevelFault,
  type RouteTable,
  type RoutesRead,
  type TargetListing,
} from "./feed.js";
export {
  applyRoutes,
  applyTargets,
  type FeedState,
  confirmTargets,
  hasDrained,
  initialFeedState,
  isInGracePeriod,
  listTargetsOfUnknownGroups,
  buildServingConfig,
  recordStoreAnswer,
} from "./state.js";
export {
  decodeGroupTargets,
  encodeGroupTargets,
  findOutdatedRecords,
  listFormerTargets,
  type RecordedTargets,
  restoreMissingTargets,
} from "./group-record.js";
export { decodeSnapshot, encodeSnapshot } from "./snapshot.js";
