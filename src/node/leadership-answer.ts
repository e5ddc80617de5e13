import type { LeadershipAnswer, LeadershipTracker } from "../leadership/index.js";
import type { Clock } from "../model/index.js";
import type { StoreFollower } from "./follower.js";

/** What an answer about the leadership is made from. */
export interface LeadershipAnswerSources {
  readonly vm: string;
  readonly clock: Pick<Clock, "now">;
  readonly tracker: LeadershipTracker;
  readonly follower: Pick<StoreFollower, "registry" | "lastPoll">;
}

/** Builds the answer to a peer that shared its leadership state, with the ages of what this process knows. */
export function buildLeadershipAnswer(
  { vm, clock, tracker, follower }: LeadershipAnswerSources,
  from: string,
): LeadershipAnswer {
  const findAge = (at: number | undefined) => (at === undefined ? undefined : clock.now() - at);
  return {
    ...tracker.latestUpdate,
    vm,
    listsAsker: follower.registry.hasListed(from),
    confirmedAgoMs: findAge(tracker.confirmedAt),
    storeAgoMs: findAge(tracker.lastAnsweredStoreQueryAt),
    storeRevision: follower.lastPoll?.revision,
    lookedAgoMs: findAge(follower.lastPoll?.requestedAt),
  };
}
