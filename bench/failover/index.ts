export { FakeFleet, type FleetOptions } from "./fakefleet.js";
export { drawSteps, type FaultStep, runSteps, type StepsReport } from "./faultsteps.js";
export { type GapReport, measureGaps } from "./gaps.js";
export { type LatencyReport, measureLatency } from "./latency.js";
export { createFakeRig, type Failure, type Rig } from "./rig.js";
export { formatFailure, runSoak, type SoakFailure, type SoakReport } from "./soak.js";
export { measureStalls, type StallReport } from "./stalls.js";
export { createStandinRig } from "./standinrig.js";
export { VirtualClock } from "./virtualclock.js";
