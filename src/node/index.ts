export { Node, type NodeOptions } from "./node.js";
export { type NodeAdapter, type NodeStore, type StoreStatus } from "./ports.js";
export { type NodeSettings } from "./settings.js";
