import type { LogEvent } from "../event.js";

/** Events of leadership: which target is primary, for targets that can't be fenced by a majority. */
export const leadershipEvents = {
  adopted: {
    id: 3100,
    name: "leadershipAdopted",
    level: "info",
    text: "The proxy adopted a newer leadership document.",
  },
  permitGained: {
    id: 3101,
    name: "leadershipPermitGained",
    level: "info",
    text: "The proxy's leadership information was recently confirmed; it may use primaries.",
  },
  permitLost: {
    id: 3102,
    name: "leadershipPermitLost",
    level: "warn",
    text: "The proxy's leadership information went unconfirmed for too long; it does not use primaries until it is confirmed again.",
  },
  stalled: {
    id: 3103,
    name: "processStalled",
    level: "warn",
    text: "The process's clocks diverged: the process was paused, or the system time was set.",
  },
  suspected: {
    id: 3104,
    name: "leaderSuspected",
    level: "warn",
    text: "A primary may have to be replaced; the proxy asks the other proxies about it.",
  },
  primaryLostLog: {
    id: 3115,
    name: "primaryLostLog",
    level: "warn",
    text: "A primary restarted without commits that it had acknowledged; the proxy replaces it.",
  },
  primaryKept: {
    id: 3105,
    name: "primaryKept",
    level: "info",
    text: "A suspected primary keeps its role; the reason is given.",
  },
  changeStarted: {
    id: 3106,
    name: "primaryChangeBegun",
    level: "info",
    text: "This proxy holds the change lease and starts to replace a primary; its fencing token goes with each order.",
  },
  changePrevented: {
    id: 3107,
    name: "primaryChangeBarred",
    level: "info",
    text: "A change of primary could not start or continue; the reason is given.",
  },
  proxiesNotified: {
    id: 3108,
    name: "proxiesTold",
    level: "info",
    text: "The proxy notified the other proxies of the change; it waits until the permits of those that did not answer have expired.",
  },
  demoted: {
    id: 3109,
    name: "primaryDemoted",
    level: "info",
    text: "The proxy asked the old primary to demote itself; the position is the end of its log.",
  },
  candidateChosen: {
    id: 3110,
    name: "primaryChosen",
    level: "info",
    text: "The proxy chose the target to promote; the positions of all targets that answered are given.",
  },
  promoteAnswered: {
    id: 3111,
    name: "promoteAnswered",
    level: "info",
    text: "The order to promote a target ended; the result is given, which may be that the platform did not answer.",
  },
  candidateMissing: {
    id: 3117,
    name: "primaryNotChosen",
    level: "warn",
    text: "No target is known to have every acknowledged commit, so that none is promoted yet; the positions of the targets that answered and the names of those that did not are given.",
  },
  formerTargetsCovered: {
    id: 3118,
    name: "formerTargetsCovered",
    level: "info",
    text: "A replica has received all that the primary had after these targets were gone; a change of primary doesn't wait for them any more.",
  },
  changeDone: {
    id: 3112,
    name: "primaryChangeDone",
    level: "info",
    text: "A new primary is serving; the time since the suspicion is given.",
  },
  storeContactLost: {
    id: 3113,
    name: "storeContactLost",
    level: "warn",
    text: "The platform's store does not answer; the proxy asks the other proxies instead.",
  },
  storeContactRegained: {
    id: 3114,
    name: "storeContactRegained",
    level: "info",
    text: "The platform's store answers again.",
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
