export {
  ConfigurationKeeper,
  type ConfigurationKeeperOptions,
  type ConfigurationListener,
} from "./configuration.js";
export { ConfigurationEditor, type EditResult, type EditorOptions } from "./editor.js";
export { configurationKind, configurationName, historyKind } from "./kinds.js";
export { DrainKeeper, type DrainKeeperOptions } from "./drain.js";
export {
  MembershipKeeper,
  type MembershipKeeperOptions,
  type MembershipListener,
} from "./membership.js";
export { OwnerTable } from "./owners.js";
