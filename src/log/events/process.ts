import type { LogEvent } from "../event.js";

/** Events of processes and operators. */
export const processEvents = {
  started: {
    id: 7001,
    name: "processStarted",
    level: "info",
    text: "The process listens.",
  },
  ready: {
    id: 7002,
    name: "processReady",
    level: "info",
    text: "The configuration is known; the process is ready.",
  },
  drainRequested: {
    id: 7003,
    name: "drainAsked",
    level: "info",
    text: "The process was asked to leave; it announces that and takes no new work.",
  },
  drained: {
    id: 7004,
    name: "processDrained",
    level: "info",
    text: "Nothing is in flight any more; the process ends.",
  },
  drainTimedOut: {
    id: 7005,
    name: "drainCutOff",
    level: "error",
    text: "The longest wait for a drain is over with requests in flight.",
  },
  settingsInvalid: {
    id: 7006,
    name: "settingsFaulty",
    level: "error",
    text: "The settings have faults; the process does not start.",
  },
  certificatesRead: {
    id: 7007,
    name: "certificates-read",
    level: "info",
    text: "keys and certificates were read",
  },
  certificatesInvalid: {
    id: 7008,
    name: "certificates-faulty",
    level: "error",
    text: "changed keys or certificates can't be used; the ones before stay in use",
  },
  invariantBroken: {
    id: 7009,
    name: "invariantBroken",
    level: "error",
    text: "An invariant of the system does not hold.",
  },
  unexpectedError: {
    id: 7010,
    name: "unexpectedError",
    level: "error",
    text: "An error that nothing handled; the process goes on.",
  },
  exitForced: {
    id: 7011,
    name: "endForced",
    level: "error",
    text: "The process did not end within the drain's limit and a margin; it ends at once.",
  },
} as const satisfies Record<string, LogEvent>;
