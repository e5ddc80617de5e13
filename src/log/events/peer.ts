import type { LogEvent } from "../event.js";

const defineEvents = <K extends string>(events: Readonly<Record<K, LogEvent>>) => events;

/** Events of the links between proxies. */
export const peerEvents = defineEvents({
  listening: {
    id: 6500,
    name: "peersListening",
    level: "info",
    text: "The proxy serves its peers.",
  },
  peerRejected: {
    id: 6501,
    name: "peerTurnedAway",
    level: "warn",
    text: "A process without a valid certificate tried to connect as a peer.",
  },
  callFailed: {
    id: 6502,
    name: "peerCallBroken",
    level: "debug",
    text: "A peer's call could not be answered to its end, mostly since the peer gave it up.",
  },
  directCallTimedOut: {
    id: 6503,
    name: "directPeerSilent",
    level: "info",
    text: "A peer did not answer a call in time.",
  },
  certificatesRead: {
    id: 6510,
    name: "certificatesRead",
    level: "info",
    text: "Certificates were read; connections to come use them.",
  },
  certificatesInvalid: {
    id: 6511,
    name: "certificatesUnreadable",
    level: "error",
    text: "Changed certificates could not be used; the ones before stay in use.",
  },
});
