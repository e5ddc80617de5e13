import type { LogEvent } from "../event.js";

/** Events of a process's start, drain, exit and internal errors. */
export const processEvents = {
  started: {
    id: 7001,
    name: "processStarted",
    level: "info",
    text: "The process is listening.",
  },
  ready: {
    id: 7002,
    name: "processReady",
    level: "info",
    text: "The process has a configuration and is ready.",
  },
  drainRequested: {
    id: 7003,
    name: "drainAsked",
    level: "info",
    text: "The process was asked to drain; it announces that it is leaving and accepts no new work.",
  },
  drained: {
    id: 7004,
    name: "processDrained",
    level: "info",
    text: "No request is in flight any more; the process exits.",
  },
  drainTimedOut: {
    id: 7005,
    name: "drainCutOff",
    level: "error",
    text: "The drain's time limit passed with requests still in flight.",
  },
  settingsInvalid: {
    id: 7006,
    name: "settingsFaulty",
    level: "error",
    text: "The settings are invalid; the process does not start.",
  },
  certificatesRead: {
    id: 7007,
    name: "certificates-read",
    level: "info",
    text: "The process loaded its keys and certificates.",
  },
  certificatesInvalid: {
    id: 7008,
    name: "certificates-faulty",
    level: "error",
    text: "The changed keys or certificates are invalid; the previous ones stay in use.",
  },
  invariantBroken: {
    id: 7009,
    name: "invariantBroken",
    level: "error",
    text: "An invariant of the system was violated.",
  },
  unexpectedError: {
    id: 7010,
    name: "unexpectedError",
    level: "error",
    text: "An unhandled error occurred; the process continues.",
  },
  exitForced: {
    id: 7011,
    name: "endForced",
    level: "error",
    text: "The process did not exit within the drain limit and a margin; it exits immediately.",
  },
} as const satisfies Record<string, LogEvent>;
