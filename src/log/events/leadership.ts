import type { LogEvent } from "../event.js";

/** Events of who leads the groups, where targets have no fence on a majority. */
export const leadershipEvents = {
  adopted: {
    id: 3100,
    name: "leadershipAdopted",
    level: "info",
    text: "A newer document of who leads the groups is held from now on.",
  },
  permitGained: {
    id: 3101,
    name: "leadershipPermitGained",
    level: "info",
    text: "What is held about who leads was confirmed lately: primaries may be used.",
  },
  permitLost: {
    id: 3102,
    name: "leadershipPermitLost",
    level: "warn",
    text: "Nobody confirmed who leads for too long: primaries are not used until somebody does.",
  },
  stalled: {
    id: 3103,
    name: "processStalled",
    level: "warn",
    text: "The clocks have parted: the process stood still, or the time of day was set.",
  },
  suspected: {
    id: 3104,
    name: "leaderSuspected",
    level: "warn",
    text: "A primary may have to be replaced; the other proxies are asked.",
  },
  primaryLostLog: {
    id: 3115,
    name: "primaryLostLog",
    level: "warn",
    text: "A primary has started again without commits that it had acknowledged; it is replaced.",
  },
  primaryKept: {
    id: 3105,
    name: "primaryKept",
    level: "info",
    text: "A suspected primary stays; the reason is given.",
  },
  changeStarted: {
    id: 3106,
    name: "primaryChangeBegun",
    level: "info",
    text: "This proxy holds the duty and replaces a primary; the token goes with its orders.",
  },
  changePrevented: {
    id: 3107,
    name: "primaryChangeBarred",
    level: "info",
    text: "A change could not begin or go on; the reason is given.",
  },
  proxiesNotified: {
    id: 3108,
    name: "proxiesTold",
    level: "info",
    text: "The other proxies were told; who did not answer is waited out.",
  },
  demoted: {
    id: 3109,
    name: "primaryDemoted",
    level: "info",
    text: "The old primary was asked to step back; the position is where its log ended.",
  },
  candidateChosen: {
    id: 3110,
    name: "primaryChosen",
    level: "info",
    text: "A target was chosen to lead; the positions of all that answered are given.",
  },
  promoteAnswered: {
    id: 3111,
    name: "promoteAnswered",
    level: "info",
    text: "The platform answered the order to promote, or did not.",
  },
  changeDone: {
    id: 3112,
    name: "primaryChangeDone",
    level: "info",
    text: "A new primary serves; the time since the suspicion is given.",
  },
  storeContactLost: {
    id: 3113,
    name: "storeContactLost",
    level: "warn",
    text: "The platform's store does not answer; the other proxies are asked instead.",
  },
  storeContactRegained: {
    id: 3114,
    name: "storeContactRegained",
    level: "info",
    text: "The platform's store answers again.",
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
