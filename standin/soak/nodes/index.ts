export { buildBundle } from "./bundle.js";
export { checkCutReads, type CutReads } from "./cut-reads.js";
export type { LateArrival } from "./commands.js";
export { ContactLog, contactMs } from "./contact.js";
export { DisturbedDirection, LinkDisturbances } from "./disturbed-link.js";
export { listDrainBreaches } from "./drain-check.js";
export { describeTimedFault, type TimedFault } from "./fault.js";
export { listFaultNames, nodeFaultNames, planFaults, type NodeFaultName } from "./fault-plan.js";
export { createFixedPlan } from "./fixed-plans.js";
export { listSupersededBreaches } from "./superseded-check.js";
export { Balancer } from "./balancer.js";
export { listBelowFloor } from "./gate.js";
export { Load } from "./load.js";
export { LoopDelayMonitor } from "./loop-delays.js";
export { MachineLoadMonitor } from "./machine-load.js";
export { findSlowRecovery, measureRecovery, type Recovery } from "./recovery.js";
export { RegionLink } from "./region-link.js";
export { RegionRelay } from "./region-relay.js";
export { listBreaches, runNodeSoak, type NodeSoakOptions, type NodeSoakReport } from "./run.js";
export { defaultSite, readSite, type SoakSite } from "./site.js";
export {
  computeAnsweredShare,
  computeEarnedShare,
  formatServed,
  summariseServed,
} from "./tally.js";
