import type { LogEvent } from "../event.js";

/** Events of a group's owner: where requests ran, and how they ended. */
export const ownerEvents = {
  requestPlaced: {
    id: 2001,
    name: "requestPlaced",
    level: "info",
    text: "A request was placed on a target; the reason for the choice is given.",
  },
  requestRetried: {
    id: 2002,
    name: "requestRetried",
    level: "info",
    text: "A request that had not run is retried.",
  },
  requestGivenUp: {
    id: 2003,
    name: "requestGivenUp",
    level: "warn",
    text: "A request was abandoned; the verdict tells whether it may have run.",
  },
  writeConfirmed: {
    id: 2004,
    name: "writeConfirmed",
    level: "debug",
    text: "A majority confirmed a write; its answer is sent to the caller.",
  },
  writeUnconfirmed: {
    id: 2005,
    name: "writeUnconfirmed",
    level: "warn",
    text: "A write committed but no majority confirmed it; the caller is told that it may have run.",
  },
  recordedAnswerSent: {
    id: 2006,
    name: "answerRepeated",
    level: "info",
    text: "A repeated write with an idempotency key got the recorded answer and did not run.",
  },
  keyReused: {
    id: 2007,
    name: "keyMisused",
    level: "warn",
    text: "An idempotency key was reused for a different statement; the statement did not run.",
  },
  groupOpened: {
    id: 2008,
    name: "groupOpened",
    level: "info",
    text: "This process started to serve a group: it probes the targets and opens connections.",
  },
  groupClosed: {
    id: 2009,
    name: "groupClosed",
    level: "info",
    text: "This process stopped serving a group and closed its connections.",
  },
  groupsUnreadable: {
    id: 2010,
    name: "groupsUnknown",
    level: "warn",
    text: "The platform's list of groups could not be read; the last known list stays in use.",
  },
  requestRefused: {
    id: 2011,
    name: "conversationRefused",
    level: "info",
    text: "A request for a group was refused before routing.",
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
