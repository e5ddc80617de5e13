export { buildBundle } from "./bundle.js";
export { checkCutReads, type CutReads } from "./cut-reads.js";
export {
  describeTimedFault,
  listFaultNames,
  nodeFaultNames,
  planFaults,
  type NodeFaultName,
} from "./faults.js";
export { Balancer } from "./balancer.js";
export { Load } from "./load.js";
export { RegionLink } from "./region-link.js";
export { RegionRelay } from "./region-relay.js";
export { listBreaches, runNodeSoak, type NodeSoakOptions, type NodeSoakReport } from "./run.js";
export { defaultSite, readSite, type SoakSite } from "./site.js";
export { computeAnsweredShare, formatServed, summariseServed } from "./tally.js";
