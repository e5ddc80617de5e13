import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** The first numbers of a generator that is seeded with a small number are similar, so they are skipped. */
const skippedNumbers = 16;
const streamFactor = 7919;

/** A deterministic stream of random choices. */
export interface RandomStream {
  /** Returns an integer between `from` and `to`, both included. */
  nextInteger(from: number, to: number): number;
  /** Returns one of the elements; throws when there is none. */
  pick<T>(items: readonly T[]): T;
  /** Returns true with the given probability. */
  chance(probability: number): boolean;
}

/** Creates a stream: equal seeds and stream numbers give equal choices. */
export function createRandomStream(seed: number, stream: number): RandomStream {
  const generator = xoroshiro128plus((seed * streamFactor + stream) | 0);
  for (let i = 0; i < skippedNumbers; i += 1) generator.next();
  const nextInteger = (from: number, to: number) =>
    from + Math.floor(uniformFloat64(generator) * (to - from + 1));
  return {
    nextInteger,
    pick<T>(items: readonly T[]): T {
      const picked = items[nextInteger(0, items.length - 1)];
      if (picked === undefined) throw new Error("cannot pick from an empty list");
      return picked;
    },
    chance: (probability) => uniformFloat64(generator) < probability,
  };
}
