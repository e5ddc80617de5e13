export { OwnerGateway } from "./gateway.js";
export { ServedGroup } from "./group.js";
export { type OwnerPorts } from "./ports.js";
export { type OwnerHooks, noopHooks } from "./hooks.js";
