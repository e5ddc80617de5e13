export { PlatformFaults } from "./faults.js";
export { Objects, type Update } from "./objects.js";
export { type CallCounts, StandinPlatform, type StandinPlatformOptions } from "./server.js";
