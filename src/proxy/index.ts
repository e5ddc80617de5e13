export { FleetGateway, type FleetGatewayOptions } from "./gateway.js";
export { Proxy, type ProxyAddresses, type ProxyPorts } from "./proxy.js";
