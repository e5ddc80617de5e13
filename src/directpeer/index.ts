export { DirectPeerClient, type RemotePeers, type TokenRequest } from "./client.js";
export { type DirectPeerHandlers, DirectPeerServer } from "./server.js";
