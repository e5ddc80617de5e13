import type { RequestTraits, Rule, ServeAction } from "../model/index.js";

const payingWrite: ServeAction = {
  type: "serve",
  route: { type: "primary" },
  priority: "critical",
  deadlineMs: 10_000,
  maxQueueMs: 5_000,
  retry: { attempts: 3 },
  acknowledgement: "replicated",
};

const payingRead: ServeAction = {
  ...payingWrite,
  route: { type: "replica" },
  priority: "normal",
  deadlineMs: 5_000,
  maxQueueMs: 2_000,
};

const trial: ServeAction = {
  ...payingRead,
  priority: "trial",
  maxQueueMs: 1_000,
  retry: { attempts: 1 },
};

/**
 * The rules that apply when none of the operators' rules matches: writes of paying teams run on the
 * primary with priority `critical`, their reads on a replica with `normal`, and all requests of trial
 * teams with `trial`.
 */
export const defaultRules = {
  payingWrite: {
    name: "default-paying-write",
    when: { plan: "paying", effect: "write" },
    then: payingWrite,
  },
  payingRead: {
    name: "default-paying-read",
    when: { plan: "paying", effect: "read" },
    then: payingRead,
  },
  trialWrite: {
    name: "default-trial-write",
    when: { plan: "trial", effect: "write" },
    then: { ...trial, route: { type: "primary" } },
  },
  trialRead: {
    name: "default-trial-read",
    when: { plan: "trial", effect: "read" },
    then: trial,
  },
} as const satisfies Readonly<Record<string, Rule>>;

/** Returns the default rule for a request's plan and effect. */
export function findDefaultRule(traits: Pick<RequestTraits, "plan" | "effect">): Rule {
  const isWrite = traits.effect === "write";
  switch (traits.plan) {
    case "paying":
      return isWrite ? defaultRules.payingWrite : defaultRules.payingRead;
    case "trial":
      return isWrite ? defaultRules.trialWrite : defaultRules.trialRead;
  }
}
