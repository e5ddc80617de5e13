/** What a team pays for. Trial teams never crowd out paying ones. */
export type Plan = "trial" | "paying";

/** A customer's team. The roster lists all of them. */
export interface Team {
  readonly name: string;
  readonly plan: Plan;
}
