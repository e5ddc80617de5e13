import { priorities, succeed, type Applied } from "../../model/index.js";
import { refuse } from "./refusal.js";
import { dropWaiting, putWaiting, withClass } from "./state.js";
import { findLastEntry, getEntry, listValues } from "./tree.js";
import type { Admission, AdmissionEffect, ClassQueue, TeamQueue, Waiting } from "./types.js";
import { measureWait } from "./wait.js";

type Displaced = Extract<Applied<Admission, AdmissionEffect, never>, { type: "applied" }>;

/**
 * Keeps a full queue at its size. The last request of the longest team in the least important class
 * goes, unless that is the arrival itself. Refusing whoever comes last would let a trial flood that
 * filled the queue turn paying writes away.
 */
export function refuseLeastImportant(
  admission: Admission,
  arrival: Waiting,
  at: number,
): Displaced {
  const victim = findVictim(admission, arrival);
  const without = victim === arrival ? admission : dropWaiting(admission, victim);
  const estimate = measureWait(without, victim, at);
  const queue = without.classes[victim.priority];
  const refused = refuse(queue, victim, "queueFull", estimate, at);
  const next = withClass(without, victim.priority, refused.queue);
  return succeed(victim === arrival ? next : putWaiting(next, arrival), [refused.effect]);
}

function findVictim(admission: Admission, arrival: Waiting): Waiting {
  const least = [...priorities].reverse().find((p) => admission.classes[p].size > 0);
  const place = priorities.indexOf(arrival.priority);
  if (least === undefined || priorities.indexOf(least) < place) return arrival;
  const queue = admission.classes[least];
  const longest = findLongestTeam(queue);
  if (longest === undefined) return arrival;
  const isOwnClass = least === arrival.priority;
  const ownSize = getEntry(queue.teams, arrival.team)?.size ?? 0;
  if (isOwnClass && longest.size <= ownSize + 1) return arrival;
  return findNewest(longest) ?? arrival;
}

function findLongestTeam(queue: ClassQueue): TeamQueue | undefined {
  let longest: TeamQueue | undefined;
  for (const team of listValues(queue.teams)) {
    if (longest === undefined || team.size > longest.size) longest = team;
  }
  return longest;
}

function findNewest(team: TeamQueue): Waiting | undefined {
  let newest: Waiting | undefined;
  for (const lane of listValues(team.lanes)) {
    const last = findLastEntry(lane.queue)?.value;
    if (last !== undefined && (newest === undefined || last.seq > newest.seq)) newest = last;
  }
  return newest;
}
