export { type GatewayPlan } from "./choose.js";
export { type TokenResult } from "./connection.js";
export { GatewayConnections } from "./connections.js";
export { EntryLoads } from "./entry-loads.js";
export { GatewayRouter } from "./router.js";
export { RoutedRunner } from "./runner.js";
export { countListedProxyQuota } from "./quota.js";
export { GatewayServer } from "./server.js";
export { SlotTakeover } from "./takeover.js";
