/** A team's plan. Trial teams must not displace the requests of paying ones. */
export type Plan = "trial" | "paying";

/** How many operations a team may start, counted over all proxies. */
export interface TeamRate {
  /** Sustained operations per second. */
  readonly perSecond: number;
  /** Operations that may be started at once in addition. */
  readonly burst: number;
}

/** A customer's team. The configuration lists all of them. */
export interface Team {
  readonly name: string;
  readonly plan: Plan;
  /** Secrets by which its callers authenticate; absent where callers are identified by other means. */
  readonly keys?: readonly string[];
  /** Absent when the team's rate is not limited. */
  readonly rate?: TeamRate;
}
