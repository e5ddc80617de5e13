export {
  assumedCrossingMs,
  compareDistance,
  distances,
  singleRegion,
  Topology,
  type CrossingKind,
  type Distance,
} from "./topology.js";
