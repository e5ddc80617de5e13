export { type PeerConnection, type PeerConnectionOptions, PeerConnections } from "./connections.js";
export { ConnectPeerClient, type PeerClientOptions } from "./client.js";
export { PeerServer, type PeerServerOptions } from "./server.js";
export { type OwnerChoice, type PeerHandlers } from "./handlers.js";
export { RemoteGateway, type RemoteGatewayOptions } from "./gateway.js";
