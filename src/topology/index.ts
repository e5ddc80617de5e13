export {
  assumedCrossingMs,
  compareDistance,
  singleRegion,
  Topology,
  type Distance,
} from "./topology.js";
