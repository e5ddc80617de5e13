export { formatLogPosition, type StandinCommit, StandinLog, type StandinMember } from "./group.js";
export { StandinMetadata, type StandinOrder } from "./store.js";
export { StandinLineTarget, type StandinRun, type StandinTargetOptions } from "./target.js";
