export { describeTimedFault, nodeFaultNames, planFaults, type NodeFaultName } from "./faults.js";
export { listBreaches, runNodeSoak, type NodeSoakOptions, type NodeSoakReport } from "./run.js";
export { defaultSite, readSite, type SoakSite } from "./site.js";
export { computeAnsweredShare, formatServed, summariseServed } from "./tally.js";
