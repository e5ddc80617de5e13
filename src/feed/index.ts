export { type ListedTarget, type PlatformFeed, type RouteTable } from "./feed.js";
export {
  applyRoutes,
  applyTargets,
  type FeedState,
  firstFeedState,
  isAwaitingReturn,
  makeScene,
  noteStoreAnswer,
} from "./state.js";
export { decodeSnapshot, encodeSnapshot } from "./snapshot.js";
