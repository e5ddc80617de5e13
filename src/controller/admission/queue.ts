import type { Plan, Priority } from "../../model/index.js";
import { findFirstEntry, getEntry, listValues, putEntry, removeEntry } from "./tree.js";
import type { ClassQueue, Lane, TeamQueue, Waiting } from "./types.js";

/** A class in which nothing waits. */
export const emptyClass: ClassQueue = {
  size: 0,
  credit: 0,
  virtualTime: 0,
  teams: undefined,
  sets: undefined,
  comeBackAt: 0,
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
export function addToClass(queue: ClassQueue, waiting: Waiting): ClassQueue {
  const key = makeLaneKey(waiting);
  const { candidates } = waiting;
  const team = getEntry(queue.teams, waiting.team) ?? makeTeam(waiting.team);
  const lane = getEntry(team.lanes, key) ?? {
    key,
    candidates,
    isBackground: isBackgroundWork(waiting),
    queue: undefined,
  };
  const longer = { ...lane, queue: putEntry(lane.queue, waiting.seq, waiting) };
  const count = 1 + (getEntry(queue.sets, key)?.count ?? 0);
  const grown: TeamQueue = {
    ...team,
    tag: Math.max(team.tag, queue.virtualTime),
    size: team.size + 1,
    lanes: putEntry(team.lanes, key, longer),
  };
  return {
    ...queue,
    size: queue.size + 1,
    teams: putEntry(queue.teams, team.team, grown),
    sets: putEntry(queue.sets, key, { candidates, count }),
  };
}

/** Takes a request out of its lane. */
export function removeFromClass(queue: ClassQueue, waiting: Waiting): ClassQueue {
  const key = makeLaneKey(waiting);
  const team = getEntry(queue.teams, waiting.team);
  const lane = team === undefined ? undefined : getEntry(team.lanes, key);
  if (team === undefined || lane === undefined) return queue;
  if (queue.size === 1) return { ...queue, ...emptyClass, comeBackAt: queue.comeBackAt };
  const left = removeEntry(lane.queue, waiting.seq);
  const lanes =
    left === undefined
      ? removeEntry(team.lanes, key)
      : putEntry(team.lanes, key, { ...lane, queue: left });
  const shrunk = { ...team, size: team.size - 1, lanes };
  return {
    ...queue,
    size: queue.size - 1,
    teams: keepTeam(queue, shrunk),
    sets: decrementSet(queue.sets, key),
  };
}

/** Charges slot time to a team, and moves the class's virtual time up to the team's turn. */
export function chargeTeam(
  queue: ClassQueue,
  team: string,
  slotMs: number,
  isTurn: boolean,
): ClassQueue {
  const known = getEntry(queue.teams, team);
  if (known === undefined) return queue;
  const virtualTime = isTurn ? Math.max(queue.virtualTime, known.tag) : queue.virtualTime;
  const teams = keepTeam({ ...queue, virtualTime }, { ...known, tag: known.tag + slotMs });
  return { ...queue, virtualTime, teams };
}

/** Forgets teams whose advance is used up. */
export function dropIdleTeams(queue: ClassQueue): ClassQueue {
  let teams = queue.teams;
  for (const team of listValues(queue.teams)) {
    if (team.size === 0 && team.tag <= queue.virtualTime) teams = removeEntry(teams, team.team);
  }
  return teams === queue.teams ? queue : { ...queue, teams };
}

/** The request of a class that a target serves next: the team with the least tag, oldest first. */
export function findNext(
  queue: ClassQueue,
  target: string,
  isBackgroundAllowed: boolean,
): Waiting | undefined {
  if (!hasWorkFor(queue, target)) return undefined;
  let best: { readonly tag: number; readonly waiting: Waiting } | undefined;
  for (const team of listValues(queue.teams)) {
    if (best !== undefined && team.tag > best.tag) continue;
    const waiting = findHead(team, target, isBackgroundAllowed);
    if (waiting === undefined) continue;
    const isSooner = best === undefined || team.tag < best.tag || waiting.seq < best.waiting.seq;
    if (isSooner) best = { tag: team.tag, waiting };
  }
  return best?.waiting;
}

/** Whether a class has a request that names a target. */
export function hasWorkFor(queue: ClassQueue, target: string): boolean {
  for (const set of listValues(queue.sets)) {
    if (set.candidates.includes(target)) return true;
  }
  return false;
}

/** The key of the lane that a request belongs to. */
export function makeLaneKey(waiting: Waiting): string {
  return `${isBackgroundWork(waiting) ? "background" : "other"} ${waiting.candidates.join(" ")}`;
}

function findHead(
  team: TeamQueue,
  target: string,
  isBackgroundAllowed: boolean,
): Waiting | undefined {
  let head: Waiting | undefined;
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
function keepTeam(queue: ClassQueue, team: TeamQueue): ClassQueue["teams"] {
  return team.size === 0 && team.tag <= queue.virtualTime
    ? removeEntry(queue.teams, team.team)
    : putEntry(queue.teams, team.team, team);
}

function decrementSet(sets: ClassQueue["sets"], key: string): ClassQueue["sets"] {
  const known = getEntry(sets, key);
  if (known === undefined || known.count <= 1) return removeEntry(sets, key);
  return putEntry(sets, key, { ...known, count: known.count - 1 });
}

function makeTeam(team: string): TeamQueue {
  return { team, tag: 0, size: 0, lanes: undefined };
}
