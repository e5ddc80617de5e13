import type { LogEvent } from "../event.js";

const defineEvents = <K extends string>(events: Readonly<Record<K, LogEvent>>) => events;

/** Events of the connections between proxies. */
export const peerEvents = defineEvents({
  listening: {
    id: 6500,
    name: "peersListening",
    level: "info",
    text: "The proxy is listening for its peers.",
  },
  peerRejected: {
    id: 6501,
    name: "peerTurnedAway",
    level: "warn",
    text: "The proxy rejected a peer connection from a process without a valid certificate.",
  },
  callFailed: {
    id: 6502,
    name: "peerCallBroken",
    level: "debug",
    text: "The proxy could not complete the answer to a peer's call, usually because the peer cancelled it.",
  },
  directCallFailed: {
    id: 6503,
    name: "directPeerSilent",
    level: "info",
    text: "A call to a peer failed or timed out.",
  },
  certificatesRead: {
    id: 6510,
    name: "certificatesRead",
    level: "info",
    text: "The proxy loaded its certificates; new connections use them.",
  },
  certificatesInvalid: {
    id: 6511,
    name: "certificatesUnreadable",
    level: "error",
    text: "The changed certificates are invalid; the previous ones stay in use.",
  },
});
