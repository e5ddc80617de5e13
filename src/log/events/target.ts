import type { LogEvent } from "../event.js";

/** Events of the clients of targets and of the platform, 6000 to 6999. */
export const targetEvents = {
  connectionOpened: {
    id: 6001,
    name: "targetConnectionOpened",
    level: "debug",
    text: "The proxy opened a connection to a target.",
  },
  connectionFailed: {
    id: 6002,
    name: "targetConnectionFailed",
    level: "warn",
    text: "The proxy could not open a connection to a target; the reason is given.",
  },
  connectionBroken: {
    id: 6003,
    name: "targetConnectionBroken",
    level: "info",
    text: "A connection to a target ended during an exchange: it broke, made no progress or was abandoned.",
  },
  controlUnreachable: {
    id: 6004,
    name: "targetControlUnreachable",
    level: "info",
    text: "A target did not answer a control request in time.",
  },
  storeUnavailable: {
    id: 6010,
    name: "storeUnavailable",
    level: "warn",
    text: "A read or write on the platform's service failed.",
  },
  storeAnswerLost: {
    id: 6011,
    name: "storeAnswerLost",
    level: "warn",
    text: "A write to the platform's service got no answer; it may have taken effect.",
  },
  watchBroken: {
    id: 6012,
    name: "storeWatchBroken",
    level: "info",
    text: "A watch on the store ended; the proxy lists the objects again.",
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
