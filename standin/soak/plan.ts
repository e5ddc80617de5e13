import { createRandomStream, type RandomStream } from "./random.js";

/** Selects a target by its index over all groups, or as the primary of a group when the fault starts. */
export type TargetSelector =
  | { readonly type: "index"; readonly index: number }
  | { readonly type: "primary"; readonly group: number };

/** A fault to inject. `vm` is an index into the members of the fleet. */
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

/** The cut direction of a link: towards its destination, back from it, or both. */
export type CutDirection = "there" | "back" | "both";

/** A fault with its start and end, in milliseconds since the round started. */
export interface PlannedFault {
  readonly fault: Fault;
  readonly fromMs: number;
  readonly toMs: number;
}

/** The faults of one round, the lag of each target, and how long sessions send statements. */
export interface RoundPlan {
  readonly faults: readonly PlannedFault[];
  readonly lagMs: readonly number[];
  readonly workMs: number;
}

/** The numbers of groups, of targets over all groups, and of VMs that faults can affect. */
export interface PlanSizes {
  readonly groups: number;
  readonly targets: number;
  readonly vms: number;
}

const maxLagMs = 500;
const twoFaultProbability = 0.6;
const primaryProbability = 0.5;
const streamsPerRound = 1000;

/** Every type of fault. The order decides which type a random number selects. */
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

/** Generates a round of a seed, with one fault or two. Equal arguments give equal plans. */
export function planRound(
  seed: number,
  round: number,
  sizes: PlanSizes,
  types = faultTypes,
): RoundPlan {
  const random = createRandomStream(seed, round * streamsPerRound);
  const count = random.chance(twoFaultProbability) ? 2 : 1;
  const faults = Array.from({ length: count }, () => generateFault(random, sizes, types));
  const lastEndMs = Math.max(...faults.map((f) => f.toMs));
  return {
    faults,
    lagMs: Array.from({ length: sizes.targets }, () => random.nextInteger(0, maxLagMs)),
    workMs: lastEndMs + random.nextInteger(200, 800),
  };
}

function generateFault(
  random: RandomStream,
  sizes: PlanSizes,
  types: readonly Fault["type"][],
): PlannedFault {
  const type = random.pick(types);
  const fromMs = random.nextInteger(200, 900);
  return {
    fault: generateFaultOfType(random, type, sizes),
    fromMs,
    toMs: fromMs + random.nextInteger(300, 3000),
  };
}

function generateFaultOfType(random: RandomStream, type: Fault["type"], sizes: PlanSizes): Fault {
  const target = selectTarget(random, sizes);
  const vm = random.nextInteger(0, sizes.vms - 1);
  const way = random.pick<CutDirection>(["there", "back", "both"]);
  switch (type) {
    case "killTarget":
    case "freezeTarget":
    case "silenceTarget":
    case "cutReplication":
      return { type, target };
    case "slowTarget":
      return { type, target, factor: random.nextInteger(5, 100) };
    case "loseCommitAnswers":
      return {
        type,
        target,
        count: random.nextInteger(1, 4),
        how: random.pick(["break", "silence"] as const),
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
      return { type, ms: random.nextInteger(100, 2000) };
    case "loseStoreAnswers":
      return { type, count: random.nextInteger(1, 3) };
  }
}

/** Selects a primary for half of the faults: on a replica most faults have little effect. */
function selectTarget(random: RandomStream, { groups, targets }: PlanSizes): TargetSelector {
  const index = random.nextInteger(0, targets - 1);
  const group = random.nextInteger(0, groups - 1);
  return random.chance(primaryProbability) ? { type: "primary", group } : { type: "index", index };
}

/** Formats a fault for a trace, such as `cutTarget primary=0 way=back`. */
export function describeFault({ type, ...rest }: Fault): string {
  const fields = Object.entries(rest).map(
    ([name, value]: [string, TargetSelector | string | number]) =>
      typeof value === "object" ? describeSelector(value) : `${name}=${value}`,
  );
  return [type, ...fields].join(" ");
}

function describeSelector(selector: TargetSelector): string {
  return selector.type === "index" ? `target=${selector.index}` : `primary=${selector.group}`;
}
