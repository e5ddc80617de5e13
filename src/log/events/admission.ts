import type { LogEvent } from "../event.js";

/** Events of admission, routing, connections and retries: 4000 to 4999. */
export const admissionEvents = {
  ruleDecided: {
    id: 4000,
    name: "ruleDecided",
    level: "debug",
    text: "A rule decided on a request, or the default where no rule matched.",
  },
  readRouted: {
    id: 4001,
    name: "readRouted",
    level: "info",
    text: "A read was routed to replicas or to the primary, or waits for a replica; the reason is given.",
  },
  requestStarted: {
    id: 4010,
    name: "requestStarted",
    level: "debug",
    text: "A request got a slot of a target.",
  },
  requestRefused: {
    id: 4011,
    name: "requestRefused",
    level: "info",
    text: "A request was refused without having run; the reason and the time after which to retry are given.",
  },
  slotAbandoned: {
    id: 4012,
    name: "slotAbandoned",
    level: "warn",
    text: "A caller abandoned a running statement, which still occupies its slot.",
  },
  targetResized: {
    id: 4013,
    name: "targetResized",
    level: "info",
    text: "The number of slots or the role of a target changed for admission.",
  },
  retryPlanned: {
    id: 4020,
    name: "retryPlanned",
    level: "info",
    text: "A request that has not run will be retried.",
  },
  retryGivenUp: {
    id: 4021,
    name: "retryGivenUp",
    level: "info",
    text: "A request will not be retried; the reason is given.",
  },
  recordedAnswerSent: {
    id: 4030,
    name: "repeatAnswered",
    level: "info",
    text: "A repeated request with a known idempotency key got the recorded answer.",
  },
  keyReused: {
    id: 4031,
    name: "repeatDiffers",
    level: "warn",
    text: "An idempotency key was reused for a different statement, which is an error.",
  },
  connectionOpened: {
    id: 4040,
    name: "connectionOpened",
    level: "debug",
    text: "The owner opened a connection to a target.",
  },
  connectionClosed: {
    id: 4041,
    name: "connectionClosed",
    level: "info",
    text: "The owner closed a connection to a target; the reason is given.",
  },
  connectionRefused: {
    id: 4042,
    name: "connectionRefused",
    level: "warn",
    text: "A target refused a connection or was unreachable; the next attempt is delayed.",
  },
  connectionUnresponsive: {
    id: 4043,
    name: "connectionSilent",
    level: "warn",
    text: "A connection showed no activity for too long; connections of the same age are checked.",
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
