export { type CallerCodec, type CallerMessage, CallerRegistry } from "./callers.js";
export { findReadRequirement, type SessionContext } from "./context.js";
export { type AgedPosition, type SharedPositions } from "./group-positions.js";
export { applySharedPositions, sharePositions } from "./position-sharing.js";
export { type CandidateTarget } from "./candidates.js";
export { GroupDirectory } from "./directory.js";
export { type DirectGroup } from "./group.js";
export { type DirectPorts, type StatementSample, type TargetDialer } from "./ports.js";
export { identifyCaller, TeamRoster } from "./roster.js";
export { describeRefusal } from "./pause.js";
export { type PrimarySource, type PrimaryState, typicalChangeMs } from "./primary.js";
export { describeLevel } from "./levels.js";
export { watchTransactionIdle } from "./idle.js";
export {
  minRedirectMs,
  type RedirectCause,
  type RedirectDestinations,
  RedirectOffer,
} from "./redirect.js";
export { buildEqualShare, type ShareRule } from "./share.js";
export { directRunner } from "./direct.js";
export { type OpenTransaction, type WorkRunner } from "./runner.js";
export { type StatementResult } from "./autocommit.js";
export { StatementTrace } from "./trace.js";
export {
  type AnnouncedGroup,
  type AnnouncedTarget,
  type Database,
  emptyServingConfig,
  hasLevels,
  listLevels,
  type ServingConfig,
} from "./serving-config.js";
