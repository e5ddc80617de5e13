import type { Plan, Priority } from "../../model/index.js";
import { findFirstEntry, getEntry, listValues, putEntry, removeEntry } from "./tree.js";
import type { ClassQueue, Lane, TeamQueue, WaitingRequest } from "./types.js";

/** A priority class without waiting requests. */
export const emptyClass: ClassQueue = {
  size: 0,
  credit: 0,
  virtualTime: 0,
  teams: undefined,
  candidateSets: undefined,
  lastRetryAt: 0,
};

/**
 * Whether a request is background work, by its team's plan or by the priority that a rule assigned.
 */
export function isBackgroundWork(request: {
  readonly plan: Plan;
  readonly priority: Priority;
}): boolean {
  const { plan, priority } = request;
  return plan === "trial" || priority === "trial" || priority === "browsing";
}

/** Adds a request to the lane of its team and candidates, in order of arrival. */
export function addToClass(queue: ClassQueue, waiting: WaitingRequest): ClassQueue {
  const key = makeLaneKey(waiting);
  const { candidates } = waiting;
  const team = getEntry(queue.teams, waiting.team) ?? createTeamQueue(waiting.team);
  const lane = getEntry(team.lanes, key) ?? {
    key,
    candidates,
    isBackground: isBackgroundWork(waiting),
    queue: undefined,
  };
  const grownLane = { ...lane, queue: putEntry(lane.queue, waiting.seq, waiting) };
  const count = 1 + (getEntry(queue.candidateSets, key)?.count ?? 0);
  const grownTeam: TeamQueue = {
    ...team,
    startTag: Math.max(team.startTag, queue.virtualTime),
    size: team.size + 1,
    lanes: putEntry(team.lanes, key, grownLane),
  };
  return {
    ...queue,
    size: queue.size + 1,
    teams: putEntry(queue.teams, team.team, grownTeam),
    candidateSets: putEntry(queue.candidateSets, key, { candidates, count }),
  };
}

/**
 * Removes a request from its lane. Returns the queue unchanged if the request's lane is unknown.
 */
export function removeFromClass(queue: ClassQueue, waiting: WaitingRequest): ClassQueue {
  const key = makeLaneKey(waiting);
  const team = getEntry(queue.teams, waiting.team);
  const lane = team === undefined ? undefined : getEntry(team.lanes, key);
  if (team === undefined || lane === undefined) return queue;
  if (queue.size === 1) return { ...queue, ...emptyClass, lastRetryAt: queue.lastRetryAt };
  const remaining = removeEntry(lane.queue, waiting.seq);
  const lanes =
    remaining === undefined
      ? removeEntry(team.lanes, key)
      : putEntry(team.lanes, key, { ...lane, queue: remaining });
  const shrunkTeam = { ...team, size: team.size - 1, lanes };
  return {
    ...queue,
    size: queue.size - 1,
    teams: putOrDropTeam(queue, shrunkTeam),
    candidateSets: decrementCandidateSet(queue.candidateSets, key),
  };
}

/**
 * Adds slot time to a team's start tag. With `isStart`, first advances the virtual time of the
 * class to that tag if it is ahead.
 */
export function chargeTeam(
  queue: ClassQueue,
  team: string,
  slotMs: number,
  isStart: boolean,
): ClassQueue {
  const known = getEntry(queue.teams, team);
  if (known === undefined) return queue;
  const virtualTime = isStart ? Math.max(queue.virtualTime, known.startTag) : queue.virtualTime;
  const teams = putOrDropTeam(
    { ...queue, virtualTime },
    { ...known, startTag: known.startTag + slotMs },
  );
  return { ...queue, virtualTime, teams };
}

/** Removes teams without waiting requests whose start tag the virtual time has reached. */
export function dropIdleTeams(queue: ClassQueue): ClassQueue {
  let teams = queue.teams;
  for (const team of listValues(queue.teams)) {
    if (team.size === 0 && team.startTag <= queue.virtualTime)
      teams = removeEntry(teams, team.team);
  }
  return teams === queue.teams ? queue : { ...queue, teams };
}

/**
 * The next request of a class for a target: the oldest suitable one of the team with the lowest
 * start tag.
 */
export function findNextRequest(
  queue: ClassQueue,
  target: string,
  isBackgroundAllowed: boolean,
): WaitingRequest | undefined {
  if (!hasWorkFor(queue, target)) return undefined;
  let best: { readonly startTag: number; readonly waiting: WaitingRequest } | undefined;
  for (const team of listValues(queue.teams)) {
    if (best !== undefined && team.startTag > best.startTag) continue;
    const waiting = findOldestRequest(team, target, isBackgroundAllowed);
    if (waiting === undefined) continue;
    const isSooner =
      best === undefined || team.startTag < best.startTag || waiting.seq < best.waiting.seq;
    if (isSooner) best = { startTag: team.startTag, waiting };
  }
  return best?.waiting;
}

/** Whether any waiting request of a class has a target among its candidates. */
export function hasWorkFor(queue: ClassQueue, target: string): boolean {
  for (const set of listValues(queue.candidateSets)) {
    if (set.candidates.includes(target)) return true;
  }
  return false;
}

/**
 * The key of the lane that a request belongs to: background or not, and its candidates in order.
 */
export function makeLaneKey(waiting: WaitingRequest): string {
  return `${isBackgroundWork(waiting) ? "background" : "other"} ${waiting.candidates.join(" ")}`;
}

function findOldestRequest(
  team: TeamQueue,
  target: string,
  isBackgroundAllowed: boolean,
): WaitingRequest | undefined {
  let head: WaitingRequest | undefined;
  for (const lane of listValues(team.lanes)) {
    if (!canServeLane(lane, target, isBackgroundAllowed)) continue;
    const first = findFirstEntry(lane.queue)?.value;
    if (first !== undefined && (head === undefined || first.seq < head.seq)) head = first;
  }
  return head;
}

function canServeLane(lane: Lane, target: string, isBackgroundAllowed: boolean): boolean {
  return (isBackgroundAllowed || !lane.isBackground) && lane.candidates.includes(target);
}

/**
 * Stores a team, or removes it once it has no waiting requests and its start tag is not ahead of
 * the virtual time. If an idle team were removed earlier, its used slot time would be lost: a team
 * that sends one request at a time would be served first each time, and the other teams would
 * starve.
 */
function putOrDropTeam(queue: ClassQueue, team: TeamQueue): ClassQueue["teams"] {
  return team.size === 0 && team.startTag <= queue.virtualTime
    ? removeEntry(queue.teams, team.team)
    : putEntry(queue.teams, team.team, team);
}

function decrementCandidateSet(
  candidateSets: ClassQueue["candidateSets"],
  key: string,
): ClassQueue["candidateSets"] {
  const known = getEntry(candidateSets, key);
  if (known === undefined || known.count <= 1) return removeEntry(candidateSets, key);
  return putEntry(candidateSets, key, { ...known, count: known.count - 1 });
}

function createTeamQueue(team: string): TeamQueue {
  return { team, startTag: 0, size: 0, lanes: undefined };
}
