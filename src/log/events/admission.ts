import type { LogEvent } from "../event.js";

/** Events of admission, routing, connections and retries: 4000 to 4999. */
export const admissionEvents = {
  ruleDecided: {
    id: 4000,
    name: "ruleDecided",
    level: "debug",
    text: "A rule, or the default where none held, decided about a request.",
  },
  readRouted: {
    id: 4001,
    name: "readRouted",
    level: "info",
    text: "A read was routed: to replicas, to the primary, or to wait for a replica, with the reason.",
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
    text: "A request was refused without having run, with the reason and a time to come back.",
  },
  slotAbandoned: {
    id: 4012,
    name: "slotAbandoned",
    level: "warn",
    text: "A caller gave up on a running statement, which still holds its slot.",
  },
  targetResized: {
    id: 4013,
    name: "targetResized",
    level: "info",
    text: "The slots or the role of a target changed for admission.",
  },
  retryPlanned: {
    id: 4020,
    name: "retryPlanned",
    level: "info",
    text: "A request that has not run will be tried again.",
  },
  retryGivenUp: {
    id: 4021,
    name: "retryGivenUp",
    level: "info",
    text: "A request is not tried again, with the reason.",
  },
  recordedAnswerSent: {
    id: 4030,
    name: "repeatAnswered",
    level: "info",
    text: "A repeat under a known idempotency key got the recorded answer.",
  },
  keyReused: {
    id: 4031,
    name: "repeatDiffers",
    level: "warn",
    text: "An idempotency key was used again for another statement, which is an error.",
  },
  connectionOpened: {
    id: 4040,
    name: "connectionOpened",
    level: "debug",
    text: "A connection to a target was opened.",
  },
  connectionClosed: {
    id: 4041,
    name: "connectionClosed",
    level: "info",
    text: "The owner closed a connection to a target, with the reason.",
  },
  connectionRefused: {
    id: 4042,
    name: "connectionRefused",
    level: "warn",
    text: "A target refused a connection or could not be reached; the next try is later.",
  },
  connectionUnresponsive: {
    id: 4043,
    name: "connectionSilent",
    level: "warn",
    text: "A connection gave no sign of life; those of its age are checked.",
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
