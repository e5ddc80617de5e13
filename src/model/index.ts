export { type Configuration, emptyConfiguration } from "./configuration.js";
export { type Disposable, DisposableStore } from "./disposables.js";
export {
  invariants,
  type Invariant,
  type ViolationHandler,
  setViolationHandler,
  assertInvariant,
} from "./invariant.js";
export { type Json } from "./json.js";
export {
  type Mark,
  type Branch,
  type Lineage,
  type MarkCoverage,
  findMarkCoverage,
  compareMarkOrder,
  pickLaterMark,
  formatMark,
  parseMark,
} from "./mark.js";
export { type Address, type DataCentre, type Vm, type Target, type Group } from "./topology.js";
export {
  type Clock,
  type Random,
  type TargetControl,
  type ExchangeResult,
  type MessageSink,
  type TargetSession,
  type TargetConnector,
  type StoredObject,
  type StoreRead,
  type StoreWrite,
  type StoreChange,
  type ObjectStore,
  type GossipItem,
  type PeerHello,
  type ProbeResult,
  type PeerCheck,
  type PeerClient,
  type Outcome,
  type Conversation,
  type GroupGateway,
} from "./ports.js";
export { type RequestTraits, type IdempotencyKey, type Request } from "./request.js";
export {
  type Effect,
  priorities,
  type Priority,
  type Condition,
  type Route,
  type Acknowledgement,
  type RetryLimit,
  type RuleAction,
  type ServeAction,
  type Rule,
} from "./rule.js";
export { type StepResult, succeed, fail } from "./step.js";
export {
  type TargetStatus,
  type ControlResult,
  type TargetView,
  type GroupView,
  countMajority,
} from "./target.js";
export { type Plan, type Team, type TeamRate } from "./team.js";
export { type Term, firstTerm, compareTerms, openTerm, formatTerm, parseTerm } from "./term.js";
export { type Verdict, type NotRunReason, mayHaveRunSqlState, findSqlState } from "./verdict.js";
