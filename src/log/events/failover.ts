import type { LogEvent } from "../event.js";

/** Events of failover, 3000 to 3999. */
export const failoverEvents = {
  suspected: {
    id: 3000,
    name: "primarySuspected",
    level: "warn",
    text: "The primary does not answer; this VM tries a new connection and asks two other VMs to check it.",
  },
  cleared: {
    id: 3001,
    name: "suspicionCleared",
    level: "info",
    text: "A suspected primary answered; its old connection is closed.",
  },
  cutOff: {
    id: 3002,
    name: "observerCutOff",
    level: "warn",
    text: "The primary does not answer, but this VM is not entitled to fence it.",
  },
  fencing: {
    id: 3010,
    name: "fencing",
    level: "warn",
    text: "A new term was opened; every target is asked to fence itself at it.",
  },
  promoting: {
    id: 3011,
    name: "promoting",
    level: "warn",
    text: "A majority of the targets is fenced; the one among them with the highest mark is being promoted.",
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
    text: "An election produced no primary, or another promoter is ahead; the next election is delayed.",
  },
  gap: {
    id: 3020,
    name: "failoverGap",
    level: "info",
    text: "The first write after a change of primary was acknowledged; the durations of the failover's phases are given.",
  },
  refused: {
    id: 3030,
    name: "controlRefused",
    level: "warn",
    text: "A target refused to be fenced, to be promoted or to follow; the conflicting term is given.",
  },
  unreachable: {
    id: 3031,
    name: "targetSilent",
    level: "debug",
    text: "A target did not answer a status request.",
  },
} as const satisfies Record<string, LogEvent>;
