export { type ConnectorOptions, OpenError, PgTargetConnector } from "./connector.js";
export { FrameSplitter } from "./frames.js";
export { type ControlOptions, PgTargetControl } from "./control.js";
