import {
  type FailoverState,
  findLeadership,
  isCutOff,
  isSuperseded,
} from "../controller/failover/index.js";
import { compareTerms, countMajority, type GroupView, type TargetView } from "../model/index.js";

/** The group as others see it. No primary is named while this VM is cut off from it. */
export function buildView(state: FailoverState): GroupView {
  const targets: Record<string, TargetView> = {};
  for (const name of state.options.targets) {
    const health = state.targets[name];
    if (health?.view !== undefined) {
      targets[name] = { ...health.view, missedProbes: health.missed };
    }
  }
  const group = state.options.group;
  const leadership = isCutOff(state) ? undefined : findLeadership(state);
  if (leadership === undefined || isSuperseded(state, leadership.term)) return { group, targets };
  return { group, targets, primary: { target: leadership.primary, term: leadership.term } };
}

/**
 * The latest instant at which the primary is known to have had a majority with it; `undefined` when
 * none is. A primary that was superseded goes on showing an end of the log that is no longer the
 * group's, and ages told from it would be too small.
 */
export function findMajorityConfirmedAt(
  view: GroupView,
  targets: readonly string[],
): number | undefined {
  const { primary } = view;
  if (primary === undefined) return undefined;
  const asked = targets.flatMap((name) => {
    const target = view.targets[name];
    if (target === undefined) return [];
    return compareTerms(target.status.fencedAt, primary.term) > 0 ? [] : [target.askedAt];
  });
  const backedAt = asked.sort((a, b) => b - a)[countMajority(targets.length) - 1];
  const ownAt = view.targets[primary.target]?.askedAt;
  return backedAt === undefined || ownAt === undefined ? undefined : Math.min(backedAt, ownAt);
}
