export { Node } from "./node.js";
export { type NodeOptions } from "./options.js";
export {
  type NodeAdapter,
  type NodeStore,
  type PromotionClient,
  type StoreStatus,
} from "./ports.js";
export { type NodeSettings } from "./settings.js";
