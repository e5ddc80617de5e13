import type { Plan, Priority } from "../../model/index.js";
import { findFirstEntry, getEntry, listValues, putEntry, removeEntry } from "./tree.js";
import type { ClassQueue, Lane, TeamQueue, WaitingRequest } from "./types.js";

/** A class in which nothing waits. */
export const emptyClass: ClassQueue = {
  size: 0,
  credit: 0,
  virtualTime: 0,
  teams: undefined,
  candidateSets: undefined,
  lastRetryAt: 0,
};

/** Whether a request counts as background work: by its team's plan, or by the class a rule gave it. */
export function isBackgroundWork(request: {
  readonly plan: Plan;
  readonly priority: Priority;
}): boolean {
  const { plan, priority } = request;
  return plan === "trial" || priority === "trial" || priority === "browsing";
}

/** Puts a request into its team's lane, by order of arrival. */
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

/** Takes a request out of its lane. */
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

/** Charges slot time to a team, and moves the class's virtual time up to the team's turn. */
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

/** Forgets teams whose advance is used up. */
export function dropIdleTeams(queue: ClassQueue): ClassQueue {
  let teams = queue.teams;
  for (const team of listValues(queue.teams)) {
    if (team.size === 0 && team.startTag <= queue.virtualTime)
      teams = removeEntry(teams, team.team);
  }
  return teams === queue.teams ? queue : { ...queue, teams };
}

/** The request of a class that a target serves next: the team with the least tag, oldest first. */
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

/** Whether a class has a request that names a target. */
export function hasWorkFor(queue: ClassQueue, target: string): boolean {
  for (const set of listValues(queue.candidateSets)) {
    if (set.candidates.includes(target)) return true;
  }
  return false;
}

/** The key of the lane that a request belongs to. */
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
 * An idle team stays known while its tag is ahead. Forgetting it at once would let a team that sends
 * one request at a time come back at the head of the line each time, and the others would starve.
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
