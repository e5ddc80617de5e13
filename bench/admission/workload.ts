import type { AdmissionRequest } from "../../src/controller/admission/index.js";
import type { BenchRandom } from "./random.js";

/** A group as the brief gives it. */
export interface GroupShape {
  readonly name: string;
  readonly slots: number;
  /** One way between a caller's proxy and the owner, milliseconds. */
  readonly hopMs: number;
}

/** The two groups of the brief. */
export const shapes: readonly GroupShape[] = [
  { name: "Ferrante", slots: 2, hopMs: 0.5 },
  { name: "Cluj", slots: 5, hopMs: 0.5 },
];

/** The names of a group's targets; the first is the primary. */
export const targetNames = ["p", "r1", "r2"] as const;

/** Mean time that a statement holds a slot. */
export const serviceMs = 5;

/** One kind of traffic: what it asks, and its load as a share of what its targets bear. */
export interface Stream {
  readonly name:
    "payingWrite" | "payingRead" | "browsing" | "browsingOnPrimary" | "trialRead" | "trialWrite";
  readonly load: number;
  readonly teams: number;
  readonly tries: number;
  readonly request: Omit<AdmissionRequest, "id" | "team" | "deadlineAt">;
  readonly deadlineMs: number;
}

const replicas = ["r1", "r2"];
const primary = ["p"];

/**
 * Paying traffic at three tenths of the slots, and a flood of some times what they bear. A quarter of
 * the primary's flood is browsing whose sessions no replica can serve yet.
 */
export function makeStreams(flood: number): readonly Stream[] {
  const paying = { plan: "paying", maxQueueMs: 1000 } as const;
  const browsing = { plan: "paying", priority: "browsing", maxQueueMs: 300 } as const;
  const trial = { plan: "trial", priority: "trial", maxQueueMs: 300 } as const;
  return [
    {
      name: "payingWrite",
      load: 0.3,
      teams: 5,
      tries: 3,
      deadlineMs: 2000,
      request: { ...paying, priority: "critical", candidates: primary },
    },
    {
      name: "payingRead",
      load: 0.3,
      teams: 5,
      tries: 3,
      deadlineMs: 2000,
      request: { ...paying, priority: "normal", candidates: replicas },
    },
    {
      name: "browsing",
      load: flood / 2,
      teams: 5,
      tries: 2,
      deadlineMs: 1000,
      request: { ...browsing, candidates: replicas },
    },
    {
      name: "browsingOnPrimary",
      load: flood / 4,
      teams: 5,
      tries: 2,
      deadlineMs: 1000,
      request: { ...browsing, candidates: primary },
    },
    {
      name: "trialRead",
      load: flood / 2,
      teams: 20,
      tries: 2,
      deadlineMs: 1000,
      request: { ...trial, candidates: replicas },
    },
    {
      name: "trialWrite",
      load: (flood * 3) / 4,
      teams: 20,
      tries: 2,
      deadlineMs: 1000,
      request: { ...trial, candidates: primary },
    },
  ];
}

/** The mean time between two arrivals of a stream, milliseconds; Infinity where it is empty. */
export function findGap(stream: Stream, shape: GroupShape): number {
  const slots = shape.slots * stream.request.candidates.length;
  return stream.load === 0 ? Infinity : serviceMs / (slots * stream.load);
}

/** Draws the team of one request. */
export function drawTeam(stream: Stream, random: BenchRandom): string {
  return `${stream.name}-${Math.floor(random.draw() * stream.teams)}`;
}
