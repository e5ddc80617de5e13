export { DirectPeerClient } from "./client.js";
export { type DirectPeerHandlers, DirectPeerServer } from "./server.js";
