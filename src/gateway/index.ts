export { type GatewayPlan } from "./choose.js";
export { type TokenResult } from "./connection.js";
export { GatewayConnections } from "./connections.js";
export { GatewayShares, type GatewayShareSample } from "./gateway-shares.js";
export { GatewayRouter } from "./router.js";
export { RoutedRunner } from "./runner.js";
export { countListedProxyQuota } from "./quota.js";
export { GatewayServer } from "./server.js";
export { SlotTakeover } from "./takeover.js";
