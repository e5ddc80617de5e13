export { type CallerCodec, type CallerMessage, Callers } from "./callers.js";
export { GroupDirectory } from "./directory.js";
export { type DirectPorts, type StatementSample, type TargetDialer } from "./ports.js";
export { type PrimarySource, type PrimaryState } from "./primary.js";
export {
  type AnnouncedGroup,
  type AnnouncedTarget,
  type Database,
  emptyScene,
  type Scene,
} from "./scene.js";
