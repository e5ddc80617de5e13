import { createRandomStream, type RandomStream } from "./random.js";

/** Which target: an index counted over all groups, or whoever is primary of a group by then. */
export type TargetSelector =
  | { readonly type: "index"; readonly index: number }
  | { readonly type: "primary"; readonly group: number };

/** One fault of the plan. `vm` is an index. */
export type Fault =
  | { readonly type: "killTarget"; readonly target: TargetSelector }
  | { readonly type: "freezeTarget"; readonly target: TargetSelector }
  | { readonly type: "silenceTarget"; readonly target: TargetSelector }
  | { readonly type: "slowTarget"; readonly target: TargetSelector; readonly factor: number }
  | {
      readonly type: "loseCommitAnswers";
      readonly target: TargetSelector;
      readonly count: number;
      readonly how: "break" | "silence";
    }
  | { readonly type: "cutTarget"; readonly target: TargetSelector; readonly way: CutDirection }
  | { readonly type: "cutReplication"; readonly target: TargetSelector }
  | { readonly type: "cutPeer"; readonly vm: number; readonly way: CutDirection }
  | { readonly type: "forgetPeer"; readonly vm: number }
  | { readonly type: "killProxy"; readonly vm: number }
  | { readonly type: "drainProxy"; readonly vm: number }
  | { readonly type: "platformDown" }
  | { readonly type: "platformSlow"; readonly ms: number }
  | { readonly type: "loseStoreAnswers"; readonly count: number }
  | { readonly type: "dropWatches" };

/** Which way of a link is cut: towards the address, back from it, or both. */
export type CutDirection = "there" | "back" | "both";

/** A fault with its times, in milliseconds since the round's beginning. */
export interface PlannedFault {
  readonly fault: Fault;
  readonly fromMs: number;
  readonly toMs: number;
}

/** One round: faults, then everything heals and is checked. */
export interface RoundPlan {
  readonly faults: readonly PlannedFault[];
  readonly lagMs: readonly number[];
  readonly workMs: number;
}

/** How many there are of what faults strike. */
export interface PlanSizes {
  readonly groups: number;
  readonly targets: number;
  readonly vms: number;
}

const maxLagMs = 500;
const pairShare = 0.6;
const primaryShare = 0.5;
const roundStreams = 1000;

/** Every sort of fault, in the order in which rounds draw them. */
export const faultTypes: readonly Fault["type"][] = [
  "killTarget",
  "freezeTarget",
  "silenceTarget",
  "slowTarget",
  "loseCommitAnswers",
  "cutTarget",
  "cutReplication",
  "cutPeer",
  "forgetPeer",
  "killProxy",
  "drainProxy",
  "platformDown",
  "platformSlow",
  "loseStoreAnswers",
  "dropWatches",
];

/** Draws one round of a seed: one fault, or two at once. */
export function planRound(
  seed: number,
  round: number,
  sizes: PlanSizes,
  types = faultTypes,
): RoundPlan {
  const draw = createRandomStream(seed, round * roundStreams);
  const count = draw.chance(pairShare) ? 2 : 1;
  const faults = Array.from({ length: count }, () => drawTimes(draw, sizes, types));
  const last = Math.max(...faults.map((f) => f.toMs));
  return {
    faults,
    lagMs: Array.from({ length: sizes.targets }, () => draw.nextInteger(0, maxLagMs)),
    workMs: last + draw.nextInteger(200, 800),
  };
}

function drawTimes(
  draw: RandomStream,
  sizes: PlanSizes,
  types: readonly Fault["type"][],
): PlannedFault {
  const type = draw.pick(types);
  const fromMs = draw.nextInteger(200, 900);
  return {
    fault: drawFault(draw, type, sizes),
    fromMs,
    toMs: fromMs + draw.nextInteger(300, 3000),
  };
}

function drawFault(draw: RandomStream, type: Fault["type"], sizes: PlanSizes): Fault {
  const target = drawAim(draw, sizes);
  const vm = draw.nextInteger(0, sizes.vms - 1);
  const way = draw.pick<CutDirection>(["there", "back", "both"]);
  switch (type) {
    case "killTarget":
    case "freezeTarget":
    case "silenceTarget":
    case "cutReplication":
      return { type, target };
    case "slowTarget":
      return { type, target, factor: draw.nextInteger(5, 100) };
    case "loseCommitAnswers":
      return {
        type,
        target,
        count: draw.nextInteger(1, 4),
        how: draw.pick(["break", "silence"] as const),
      };
    case "cutTarget":
      return { type, target, way };
    case "cutPeer":
      return { type, vm, way };
    case "forgetPeer":
    case "killProxy":
    case "drainProxy":
      return { type, vm };
    case "platformDown":
    case "dropWatches":
      return { type };
    case "platformSlow":
      return { type, ms: draw.nextInteger(100, 2000) };
    case "loseStoreAnswers":
      return { type, count: draw.nextInteger(1, 3) };
  }
}

/** Half of the faults strike a primary: on a replica most of them change little. */
function drawAim(draw: RandomStream, { groups, targets }: PlanSizes): TargetSelector {
  const index = draw.nextInteger(0, targets - 1);
  const group = draw.nextInteger(0, groups - 1);
  return draw.chance(primaryShare) ? { type: "primary", group } : { type: "index", index };
}

/** Writes a fault for a trace, such as `cutTarget primary=0 way=back`. */
export function describeFault({ type, ...rest }: Fault): string {
  const fields = Object.entries(rest).map(
    ([name, value]: [string, TargetSelector | string | number]) =>
      typeof value === "object" ? describeAim(value) : `${name}=${value}`,
  );
  return [type, ...fields].join(" ");
}

function describeAim(aim: TargetSelector): string {
  return aim.type === "index" ? `target=${aim.index}` : `primary=${aim.group}`;
}
