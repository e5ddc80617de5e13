import type { LogEvent } from "../event.js";

const defineEvents = <K extends string>(events: Readonly<Record<K, LogEvent>>) => events;

/** Events of callers and sessions. */
export const callerEvents = defineEvents({
  listening: {
    id: 1000,
    name: "callersListening",
    level: "info",
    text: "The proxy is listening for callers.",
  },
  opened: {
    id: 1001,
    name: "callerOpened",
    level: "debug",
    text: "A caller started a session.",
  },
  closed: {
    id: 1002,
    name: "callerClosed",
    level: "debug",
    text: "A caller's connection ended.",
  },
  refused: {
    id: 1003,
    name: "callerRefused",
    level: "warn",
    text: "A connection was refused before its session began; the SQLSTATE and the reason are given.",
  },
  disconnected: {
    id: 1004,
    name: "callerDropped",
    level: "warn",
    text: "A caller exceeded a limit or violated the protocol and was disconnected.",
  },
  proxyFault: {
    id: 1006,
    name: "callerBroken",
    level: "error",
    text: "An internal error of the proxy ended a caller's connection.",
  },
  tokenRejected: {
    id: 1005,
    name: "sessionTokenRejected",
    level: "warn",
    text: "A session token was not accepted; the session reads from the primary instead.",
  },
  decided: {
    id: 1010,
    name: "requestDecided",
    level: "info",
    text: "A rule decided on a request.",
  },
  answered: {
    id: 1011,
    name: "requestAnswered",
    level: "debug",
    text: "A request was answered; the target that served it is given.",
  },
  failed: {
    id: 1012,
    name: "requestFailed",
    level: "info",
    text: "A request failed; the verdict tells whether it may have run.",
  },
  cancelled: {
    id: 1013,
    name: "requestCancelled",
    level: "info",
    text: "A caller asked to cancel its request in flight.",
  },
  retriedElsewhere: {
    id: 1014,
    name: "requestRetriedElsewhere",
    level: "info",
    text: "A request whose owner was lost is retried at the group's current owner.",
  },
  draining: {
    id: 1020,
    name: "callersDraining",
    level: "info",
    text: "The proxy accepts no more callers; requests and transactions in flight may finish.",
  },
  drained: {
    id: 1021,
    name: "callersDrained",
    level: "info",
    text: "All callers have disconnected; the number that the time limit cut off is given.",
  },
});
