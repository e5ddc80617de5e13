import type { Plan, Priority } from "../../model/index.js";
import { findNextInLane, isInTime, isServedBefore, makeTimeKey } from "./objective.js";
import { findFirstEntry, getEntry, listValues, putEntry, removeEntry } from "./tree.js";
import type { AdmissionSettings, ClassQueue, Lane, TeamQueue, WaitingRequest } from "./types.js";

/**
 * The weight of the newest start in a team's share of late starts. With 0.1 an overload of 0.3 s led to the refusal
 * of late requests that would have been served in the calm after it.
 */
const turnWeight = 0.07;
/**
 * A request that starts with at least this part of its objective left shows that the overload is over. In an
 * overload, requests start when little is left. That no late request waits shows nothing: all of them may have
 * been refused a moment before.
 */
const amplePart = 0.5;

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
    lacksReplica: waiting.lacksReplica === true,
    queue: undefined,
    byObjective: undefined,
  };
  const grownLane = addToLane(lane, waiting);
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
    candidateSets: putEntry(queue.candidateSets, key, {
      candidates,
      lacksReplica: grownLane.lacksReplica,
      count,
    }),
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
  const remaining = removeFromLane(lane, waiting);
  const lanes =
    remaining.queue === undefined
      ? removeEntry(team.lanes, key)
      : putEntry(team.lanes, key, remaining);
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

/**
 * Updates the share of its starts that a team's late requests get, before one of its requests starts. It falls
 * when that request overtakes a late one. It rises when a late one starts, or one that is in ample time.
 */
export function recordTurn(
  queue: ClassQueue,
  waiting: WaitingRequest,
  expectedEndAt: number,
): ClassQueue {
  const team = getEntry(queue.teams, waiting.team);
  if (team === undefined || waiting.objectiveKey === undefined) return queue;
  const inTimeFrom = makeTimeKey(expectedEndAt);
  const isLate = !isInTime(waiting, inTimeFrom);
  const isOvertaking = !isLate && hasLateRequest(team, inTimeFrom);
  if (!isOvertaking && !isLate && !isInAmpleTime(waiting, expectedEndAt)) return queue;
  const lateShare = team.lateShare + turnWeight * ((isOvertaking ? 0 : 1) - team.lateShare);
  return { ...queue, teams: putEntry(queue.teams, team.team, { ...team, lateShare }) };
}

function isInAmpleTime(waiting: WaitingRequest, expectedEndAt: number): boolean {
  const objectiveAt = waiting.objectiveAt ?? waiting.deadlineAt;
  return objectiveAt - expectedEndAt >= amplePart * (objectiveAt - waiting.arrivedAt);
}

function hasLateRequest(team: TeamQueue, inTimeFrom: string): boolean {
  for (const lane of listValues(team.lanes)) {
    const first = findFirstEntry(lane.byObjective)?.value;
    if (first !== undefined && !isInTime(first, inTimeFrom)) return true;
  }
  return false;
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

/** What determines the next request of a class for a target. */
export interface PickRules {
  readonly target: string;
  readonly isBackgroundAllowed: boolean;
  /** Whether reads that lack a replica may be picked. */
  readonly isLackingAllowed: boolean;
  /** The key of the time at which a statement that starts now is expected to end. */
  readonly inTimeFrom: string;
  readonly levelOrder: AdmissionSettings["levelOrder"];
}

/** A team's next request, with what decides between teams. */
interface TeamHead {
  readonly startTag: number;
  readonly waiting: WaitingRequest;
  /** Whether it follows the requests of all teams that are not deferred. */
  readonly isDeferred: boolean;
}

/**
 * The next request of a class for a target: the next suitable one of the team with the lowest start tag.
 * Within a team requests are served in order of arrival, those of levels by their objectives.
 */
export function findNextRequest(queue: ClassQueue, rules: PickRules): WaitingRequest | undefined {
  if (!hasWorkFor(queue, rules.target)) return undefined;
  let best: TeamHead | undefined;
  for (const team of listValues(queue.teams)) {
    if (best?.isDeferred === false && team.startTag > best.startTag) continue;
    const waiting = findNextOfTeam(team, rules);
    if (waiting === undefined) continue;
    const isDeferred =
      rules.levelOrder === "objectiveFirst" && !isInTime(waiting, rules.inTimeFrom);
    const head = { startTag: team.startTag, waiting, isDeferred };
    if (best === undefined || isHeadBefore(head, best, rules)) best = head;
  }
  return best?.waiting;
}

function isHeadBefore(a: TeamHead, b: TeamHead, { inTimeFrom }: PickRules): boolean {
  if (a.isDeferred !== b.isDeferred) return b.isDeferred;
  if (a.startTag !== b.startTag) return a.startTag < b.startTag;
  return isServedBefore(a.waiting, b.waiting, inTimeFrom);
}

/** Whether any waiting request of a class has a target among its candidates. */
export function hasWorkFor(queue: ClassQueue, target: string): boolean {
  for (const set of listValues(queue.candidateSets)) {
    if (set.candidates.includes(target)) return true;
  }
  return false;
}

/**
 * The key of the lane that a request belongs to: background or not, whether it lacks a replica, and its candidates
 * in order.
 */
export function makeLaneKey(waiting: WaitingRequest): string {
  const kind = isBackgroundWork(waiting) ? "background" : "other";
  const lacking = waiting.lacksReplica === true ? " lacking" : "";
  return `${kind}${lacking} ${waiting.candidates.join(" ")}`;
}

function findNextOfTeam(team: TeamQueue, rules: PickRules): WaitingRequest | undefined {
  const { inTimeFrom } = rules;
  let head: WaitingRequest | undefined;
  for (const lane of listValues(team.lanes)) {
    if (!canServeLane(lane, rules)) continue;
    const first = findNextInLane(lane, inTimeFrom);
    if (first === undefined) continue;
    if (head === undefined || isServedBefore(first, head, inTimeFrom)) head = first;
  }
  return head;
}

function addToLane(lane: Lane, waiting: WaitingRequest): Lane {
  const { objectiveKey: key } = waiting;
  return {
    ...lane,
    queue: putEntry(lane.queue, waiting.seq, waiting),
    byObjective: key === undefined ? undefined : putEntry(lane.byObjective, key, waiting),
  };
}

function removeFromLane(lane: Lane, waiting: WaitingRequest): Lane {
  const { objectiveKey: key } = waiting;
  return {
    ...lane,
    queue: removeEntry(lane.queue, waiting.seq),
    byObjective: key === undefined ? undefined : removeEntry(lane.byObjective, key),
  };
}

function canServeLane(lane: Lane, rules: PickRules): boolean {
  if (lane.isBackground && !rules.isBackgroundAllowed) return false;
  if (lane.lacksReplica && !rules.isLackingAllowed) return false;
  return lane.candidates.includes(rules.target);
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
  return { team, startTag: 0, size: 0, lateShare: 1, lanes: undefined };
}
