import type { LogEvent } from "../event.js";

/** Events of a group's owner: where requests ran, and what became of them. */
export const ownerEvents = {
  requestPlaced: {
    id: 2001,
    name: "requestPlaced",
    level: "info",
    text: "A request was given a target; the reason tells why this one.",
  },
  requestRetried: {
    id: 2002,
    name: "requestRetried",
    level: "info",
    text: "A request that had not run is tried again.",
  },
  requestGivenUp: {
    id: 2003,
    name: "requestGivenUp",
    level: "warn",
    text: "A request was given up; the verdict tells whether it may have run.",
  },
  writeConfirmed: {
    id: 2004,
    name: "writeConfirmed",
    level: "debug",
    text: "A majority confirmed a write, and its answer goes to the caller.",
  },
  writeUnconfirmed: {
    id: 2005,
    name: "writeUnconfirmed",
    level: "warn",
    text: "A write committed but no majority confirmed it; the caller hears that it may have run.",
  },
  recordedAnswerSent: {
    id: 2006,
    name: "answerRepeated",
    level: "info",
    text: "A repeat of a keyed write got the recorded answer and did not run.",
  },
  keyReused: {
    id: 2007,
    name: "keyMisused",
    level: "warn",
    text: "An idempotency key came back with another statement; nothing ran.",
  },
  groupOpened: {
    id: 2008,
    name: "groupOpened",
    level: "info",
    text: "This process serves a group: it probes its targets and opens connections.",
  },
  groupClosed: {
    id: 2009,
    name: "groupClosed",
    level: "info",
    text: "This process no longer serves a group and closed its connections.",
  },
  groupsUnreadable: {
    id: 2010,
    name: "groupsUnknown",
    level: "warn",
    text: "The platform's list of groups could not be read; the last one known stays in use.",
  },
  requestRefused: {
    id: 2011,
    name: "conversationRefused",
    level: "info",
    text: "A request for a group was refused before any routing.",
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
