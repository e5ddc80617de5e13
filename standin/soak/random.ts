import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** First numbers that a generator draws from a small seed, and that are all alike. */
const dullNumbers = 16;
const streamFactor = 7919;

/** Draws of one stream of a seed. */
export interface RandomStream {
  /** A whole number of [from, to]. */
  nextInteger(from: number, to: number): number;
  pick<T>(of: readonly T[]): T;
  /** Whether something of probability `share` happens. */
  chance(share: number): boolean;
}

/** Creates the draws of one stream: equal seeds and streams give equal draws. */
export function createRandomStream(seed: number, stream: number): RandomStream {
  const generator = xoroshiro128plus((seed * streamFactor + stream) | 0);
  for (let i = 0; i < dullNumbers; i += 1) generator.next();
  const whole = (from: number, to: number) =>
    from + Math.floor(uniformFloat64(generator) * (to - from + 1));
  return {
    nextInteger: whole,
    pick<T>(of: readonly T[]): T {
      const picked = of[whole(0, of.length - 1)];
      if (picked === undefined) throw new Error("nothing to pick from");
      return picked;
    },
    chance: (share) => uniformFloat64(generator) < share,
  };
}
