import type { LogEvent } from "../event.js";

/** Events of processes and operators. */
export const processEvents = {
  started: {
    id: 7001,
    name: "process-started",
    level: "info",
    text: "the process listens",
  },
  ready: {
    id: 7002,
    name: "process-ready",
    level: "info",
    text: "the configuration is known; the process is ready",
  },
  drainAsked: {
    id: 7003,
    name: "drain-asked",
    level: "info",
    text: "the process was asked to leave; it announces that and takes no new work",
  },
  drained: {
    id: 7004,
    name: "process-drained",
    level: "info",
    text: "nothing is in flight any more; the process ends",
  },
  drainCutOff: {
    id: 7005,
    name: "drain-cut-off",
    level: "error",
    text: "the longest wait for a drain is over with requests in flight",
  },
  settingsFaulty: {
    id: 7006,
    name: "settings-faulty",
    level: "error",
    text: "the settings have faults; the process does not start",
  },
  certificatesRead: {
    id: 7007,
    name: "certificates-read",
    level: "info",
    text: "keys and certificates were read",
  },
  certificatesFaulty: {
    id: 7008,
    name: "certificates-faulty",
    level: "error",
    text: "changed keys or certificates can't be used; the ones before stay in use",
  },
  invariantBroken: {
    id: 7009,
    name: "invariant-broken",
    level: "error",
    text: "an invariant of the system does not hold",
  },
  unexpectedError: {
    id: 7010,
    name: "unexpected-error",
    level: "error",
    text: "an error that nothing handled; the process goes on",
  },
} as const satisfies Record<string, LogEvent>;
