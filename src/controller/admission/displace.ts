import { succeed, type StepResult } from "../../model/index.js";
import { compareClasses, findClassName, getClass } from "./classes.js";
import { refuse } from "./refusal.js";
import { removeWaiting, putWaiting, withClass } from "./state.js";
import { findLastEntry, getEntry, listValues } from "./tree.js";
import type { Admission, AdmissionEffect, ClassQueue, TeamQueue, WaitingRequest } from "./types.js";
import { estimateWait } from "./wait.js";

type DisplaceResult = Extract<StepResult<Admission, AdmissionEffect, never>, { type: "applied" }>;

/**
 * Refuses one request so that a full queue keeps its size: the newest request of the team with the
 * most waiting requests, in the least important class that has any. The arrival itself is refused
 * if its class is less important than that, or if its own team would have the most. If a full queue
 * refused every arrival, a flood of trial requests could fill it and lock out the writes of paying
 * teams.
 */
export function refuseLeastImportant(
  admission: Admission,
  arrival: WaitingRequest,
  at: number,
): DisplaceResult {
  const victim = findVictim(admission, arrival);
  const without = victim === arrival ? admission : removeWaiting(admission, victim);
  const estimate = estimateWait(without, victim, at);
  const name = findClassName(victim);
  const refused = refuse(getClass(without, name), victim, "queueFull", estimate, at);
  const next = withClass(without, name, refused.queue);
  return succeed(victim === arrival ? next : putWaiting(next, arrival), [refused.effect]);
}

function findVictim(admission: Admission, arrival: WaitingRequest): WaitingRequest {
  const arrivalClass = findClassName(arrival);
  const leastClass = [...admission.order]
    .reverse()
    .find((name) => getClass(admission, name).size > 0);
  if (leastClass === undefined || compareClasses(leastClass, arrivalClass) < 0) return arrival;
  const queue = getClass(admission, leastClass);
  const longest = findLongestTeam(queue);
  if (longest === undefined) return arrival;
  const isOwnClass = leastClass === arrivalClass;
  const ownSize = getEntry(queue.teams, arrival.team)?.size ?? 0;
  if (isOwnClass && longest.size <= ownSize + 1) return arrival;
  return findNewestRequest(longest) ?? arrival;
}

function findLongestTeam(queue: ClassQueue): TeamQueue | undefined {
  let longest: TeamQueue | undefined;
  for (const team of listValues(queue.teams)) {
    if (longest === undefined || team.size > longest.size) longest = team;
  }
  return longest;
}

function findNewestRequest(team: TeamQueue): WaitingRequest | undefined {
  let newest: WaitingRequest | undefined;
  for (const lane of listValues(team.lanes)) {
    const last = findLastEntry(lane.queue)?.value;
    if (last !== undefined && (newest === undefined || last.seq > newest.seq)) newest = last;
  }
  return newest;
}
