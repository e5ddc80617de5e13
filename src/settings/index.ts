export { parseAddress, formatAddress } from "./address.js";
export {
  type ConfigurationFile,
  type ConfigurationDraft,
  loadConfigurationFile,
} from "./configuration.js";
export { parseDuration, formatDuration } from "./duration.js";
export { type LoadResult, type SettingsFault, formatFault } from "./fault.js";
export { findClosestName } from "./closest-name.js";
export {
  type CallerLimits,
  type Deadlines,
  type ProxySettings,
  type SessionKey,
  type TlsSettings,
  loadProxySettings,
} from "./proxy.js";
export { renderConfigurationFile } from "./render.js";
export { validateDocument } from "./validate.js";
export { parseSettingsDocument } from "./document.js";
export { defineAddress, defineCount, defineDuration, defineName, defineObject } from "./fields.js";
