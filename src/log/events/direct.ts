import type { LogEvent } from "../event.js";

/** Events of statements that a proxy sends to targets itself. */
export const directEvents = {
  answered: {
    id: 2100,
    name: "statementAnswered",
    level: "info",
    text: "A statement got its final answer; target, mark, tries and time tell how.",
  },
  refused: {
    id: 2101,
    name: "statementRefused",
    level: "info",
    text: "A statement was refused before it ran; the reason and the time to come back are given.",
  },
  timedOut: {
    id: 2102,
    name: "statementGivenUp",
    level: "warn",
    text: "A statement ran out of time; each of its tries was refused or was a read.",
  },
  transactionLost: {
    id: 2103,
    name: "transactionLost",
    level: "warn",
    text: "A transaction's connection broke before its commit was sent: nothing of it is kept.",
  },
  commitUnanswered: {
    id: 2104,
    name: "commitUnanswered",
    level: "warn",
    text: "A commit got no answer; if the transaction wrote, it may have run.",
  },
  transactionIdle: {
    id: 2105,
    name: "transactionIdle",
    level: "warn",
    text: "A transaction rested for too long, or others waited for its connection, and was rolled back.",
  },
  sessionEnded: {
    id: 2106,
    name: "directSessionEnded",
    level: "info",
    text: "A caller's session has ended; the fields tell what it was and why.",
  },
  sessionRefused: {
    id: 2107,
    name: "directSessionRefused",
    level: "info",
    text: "A connection got no session: an unknown database, or what it sent can't be read.",
  },
  callerKeyUnknown: {
    id: 2109,
    name: "callerKeyUnknown",
    level: "info",
    text: "A caller's key is held by no team; it is told by a digest that holds for this process alone.",
  },
  transactionRevoked: {
    id: 2110,
    name: "transactionRevoked",
    level: "info",
    text: "The key of an open transaction's caller stands for its team no more; it was rolled back.",
  },
  linesDropped: {
    id: 2108,
    name: "logLinesDropped",
    level: "warn",
    text: "More lines were written than the bound allows; these were dropped and counted.",
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
