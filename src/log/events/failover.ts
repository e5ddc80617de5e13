import type { LogEvent } from "../event.js";

/** Events of failover, 3000 to 3999. */
export const failoverEvents = {
  suspected: {
    id: 3000,
    name: "primarySuspected",
    level: "warn",
    text: "The primary is silent; a new connection and two other VMs are being tried.",
  },
  cleared: {
    id: 3001,
    name: "suspicionCleared",
    level: "info",
    text: "A suspected primary has answered; its old connection is given up.",
  },
  cutOff: {
    id: 3002,
    name: "observerCutOff",
    level: "warn",
    text: "The primary is silent, but this VM has no standing to fence it.",
  },
  fencing: {
    id: 3010,
    name: "fencing",
    level: "warn",
    text: "A new term is opened and every target is asked to be fenced at it.",
  },
  promoting: {
    id: 3011,
    name: "promoting",
    level: "warn",
    text: "A majority is fenced; the target with the highest mark among it is being promoted.",
  },
  led: {
    id: 3012,
    name: "primaryKnown",
    level: "info",
    text: "A primary is known; targets that do not follow it are told to.",
  },
  backedOff: {
    id: 3013,
    name: "electionBackedOff",
    level: "warn",
    text: "An election brought no primary, or another promoter is ahead; waits before the next.",
  },
  gap: {
    id: 3020,
    name: "failoverGap",
    level: "info",
    text: "The first write since a change of primary was acknowledged; the gap is split by step.",
  },
  refused: {
    id: 3030,
    name: "controlRefused",
    level: "warn",
    text: "A target refused to be fenced, promoted or told to follow; the term in its way is given.",
  },
  unreachable: {
    id: 3031,
    name: "targetSilent",
    level: "debug",
    text: "A target did not answer a status request.",
  },
} as const satisfies Record<string, LogEvent>;
