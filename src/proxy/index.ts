export { FleetGateway, type FleetGatewayOptions } from "./gateway.js";
export { type ProxyPorts } from "./ports.js";
export { Proxy, type ProxyAddresses } from "./proxy.js";
