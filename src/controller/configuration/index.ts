export {
  decodeConfiguration,
  decodeStored,
  decodeMessage,
  encodeMessage,
  type ConfigurationMessage,
  type ConfigurationUpdate,
  type StoredConfiguration,
} from "./decode.js";
export { applyDelta, buildDelta, type ConfigurationDelta } from "./delta.js";
export { encodeCanonical, isSameValue } from "./canonical.js";
export { planEdit, maxStoredChangeIds, type Edit, type EditPlan } from "./edit.js";
export { mergeDrafts, type Draft, type Merge, type MergeConflict } from "./merge.js";
export {
  applyConfigurationEvent,
  initialConfigurationState,
  type ConfigurationAlarm,
  type ConfigurationEffect,
  type ConfigurationEvent,
  type ConfigurationSource,
  type ConfigurationState,
} from "./state.js";
export {
  chooseRelays,
  isRelay,
  listChildren,
  defaultTreeOptions,
  type TreeOptions,
} from "./tree.js";
