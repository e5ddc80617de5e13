export { HealthServer, type HealthServerOptions, type HealthState } from "./health.js";
export {
  createMetrics,
  type ConnectionState,
  type FailoverSample,
  type Metrics,
  type RequestSample,
  type SlotSample,
} from "./metrics.js";
