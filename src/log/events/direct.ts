import type { LogEvent } from "../event.js";

/** Events of statements that a proxy sends to targets itself. */
export const directEvents = {
  answered: {
    id: 2100,
    name: "statementAnswered",
    level: "info",
    text: "A statement got its final answer; target, mark, number of attempts and duration are given.",
  },
  refused: {
    id: 2101,
    name: "statementRefused",
    level: "info",
    text: "A statement was refused before it ran; the reason, the time after which to retry and the queue are given.",
  },
  timedOut: {
    id: 2102,
    name: "statementGivenUp",
    level: "warn",
    text: "A statement ran out of time; each of its attempts was refused or was a read.",
  },
  transactionLost: {
    id: 2103,
    name: "transactionLost",
    level: "warn",
    text: "A transaction's connection broke before its commit was sent; none of its changes were kept.",
  },
  commitUnanswered: {
    id: 2104,
    name: "commitUnanswered",
    level: "warn",
    text: "A commit got no answer; if the transaction wrote, its changes may have been committed.",
  },
  transactionIdle: {
    id: 2105,
    name: "transactionIdle",
    level: "warn",
    text: "A transaction was rolled back because it was idle for too long, or idle while others waited for its connection.",
  },
  sessionEnded: {
    id: 2106,
    name: "directSessionEnded",
    level: "info",
    text: "A caller's session ended; what it did and the reason are given.",
  },
  sessionRefused: {
    id: 2107,
    name: "directSessionRefused",
    level: "info",
    text: "A connection was refused a session because its database is unknown or its messages are malformed.",
  },
  callerKeyUnknown: {
    id: 2109,
    name: "callerKeyUnknown",
    level: "info",
    text: "A caller's key belongs to no team; the key is given as a digest that is specific to this process.",
  },
  transactionRevoked: {
    id: 2110,
    name: "transactionRevoked",
    level: "info",
    text: "A transaction was rolled back because its caller's key no longer belongs to its team.",
  },
  transactionDisplaced: {
    id: 2116,
    name: "transactionDisplaced",
    level: "info",
    text: "An idle transaction was rolled back because others needed its connection; its idle time is given.",
  },
  shareChanged: {
    id: 2117,
    name: "slotShareChanged",
    level: "info",
    text: "This gateway's slots at a target changed, as another gateway was lost, came back or left; the new number is given.",
  },
  replicaStalled: {
    id: 2118,
    name: "replicaStalled",
    level: "warn",
    text: "A replica has received nothing for 1 s while the primary's log grew; reads that need newer positions go elsewhere.",
  },
  replicaRecovered: {
    id: 2119,
    name: "replicaRecovered",
    level: "info",
    text: "A replica no longer counts as stalled: it reported a newer position, or what was known of it was discarded.",
  },
  slotHeld: {
    id: 2111,
    name: "slotHeld",
    level: "info",
    text: "A statement or transaction held its slot for long; what the time was spent on is given.",
  },
  linesDropped: {
    id: 2108,
    name: "logLinesDropped",
    level: "warn",
    text: "The limit on log lines was exceeded; the number of dropped lines is given.",
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
