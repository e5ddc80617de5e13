export {
  ConfigurationTracker,
  type ConfigurationTrackerOptions,
  type ConfigurationListener,
} from "./configuration.js";
export { ConfigurationEditor, type EditResult, type EditorOptions } from "./editor.js";
export { configurationKind, configurationName, historyKind } from "./kinds.js";
export { DrainRunner, type DrainRunnerOptions } from "./drain.js";
export {
  MembershipTracker,
  type MembershipTrackerOptions,
  type MembershipListener,
} from "./membership.js";
export { OwnerTable } from "./owners.js";
