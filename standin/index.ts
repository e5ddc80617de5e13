export {
  buildGroups,
  startCluster,
  startGroup,
  sizes,
  type Cluster,
  type ClusterOptions,
  type GroupOptions,
  type RunningGroup,
} from "./cluster.js";
