export { OwnerGateway } from "./gateway.js";
export { type OwnerPorts, ServedGroup } from "./group.js";
export { type OwnerHooks, silentHooks } from "./hooks.js";
