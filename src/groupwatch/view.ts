import {
  type FailoverState,
  findLeadership,
  isCutOff,
  isSuperseded,
} from "../controller/failover/index.js";
import { compareTerms, countMajority, type GroupView, type TargetView } from "../model/index.js";

/** Builds the view of a group for subscribers. It has no primary while this VM is cut off from the group. */
export function buildView(state: FailoverState): GroupView {
  const targets: Record<string, TargetView> = {};
  for (const name of state.options.targets) {
    const health = state.targets[name];
    if (health?.view !== undefined) {
      targets[name] = { ...health.view, missedProbes: health.missedAnswers };
    }
  }
  const group = state.options.group;
  const leadership = isCutOff(state) ? undefined : findLeadership(state);
  if (leadership === undefined || isSuperseded(state, leadership.term)) return { group, targets };
  return { group, targets, primary: { target: leadership.primary, term: leadership.term } };
}

/**
 * Finds the latest time at which the primary is known to have had the support of a majority; `undefined` if there
 * is none. A superseded primary still reports the end of its own log, which is no longer the group's, so that data
 * ages derived from it would be too small.
 */
export function findMajorityConfirmedAt(
  view: GroupView,
  targets: readonly string[],
): number | undefined {
  const { primary } = view;
  if (primary === undefined) return undefined;
  const askedTimes = targets.flatMap((name) => {
    const target = view.targets[name];
    if (target === undefined) return [];
    return compareTerms(target.status.fencedAt, primary.term) > 0 ? [] : [target.askedAt];
  });
  const majorityAt = askedTimes.sort((a, b) => b - a)[countMajority(targets.length) - 1];
  const primaryAskedAt = view.targets[primary.target]?.askedAt;
  return majorityAt === undefined || primaryAskedAt === undefined
    ? undefined
    : Math.min(majorityAt, primaryAskedAt);
}
