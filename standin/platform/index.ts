export { PlatformFaults } from "./faults.js";
export { VersionedObjects, type UpdateResult } from "./objects.js";
export { type CallCounts, StandinPlatform, type StandinPlatformOptions } from "./server.js";
