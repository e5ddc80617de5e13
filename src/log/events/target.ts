import type { LogEvent } from "../event.js";

/** Events of targets, platform and their clients, 6000 to 6999. */
export const targetEvents = {
  connectionOpened: {
    id: 6001,
    name: "targetConnectionOpened",
    level: "debug",
    text: "A connection to a target was opened.",
  },
  connectionFailed: {
    id: 6002,
    name: "targetConnectionFailed",
    level: "warn",
    text: "No connection to a target could be opened; the reason is given.",
  },
  connectionBroken: {
    id: 6003,
    name: "targetConnectionBroken",
    level: "info",
    text: "A connection to a target ended within an exchange: it broke, made no progress or was abandoned.",
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
    text: "The platform's service could not be read, or did not take a write.",
  },
  storeAnswerLost: {
    id: 6011,
    name: "storeAnswerLost",
    level: "warn",
    text: "A write to the platform's service has no answer; it may have taken effect.",
  },
  watchBroken: {
    id: 6012,
    name: "storeWatchBroken",
    level: "info",
    text: "A watch ended; the objects are listed again.",
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
