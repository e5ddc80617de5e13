export {
  assumedCrossingMs,
  compareDistance,
  singleRegion,
  Topology,
  type CrossingKind,
  type Distance,
} from "./topology.js";
