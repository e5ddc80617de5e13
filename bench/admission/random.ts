import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Numbers for a bench, the same for the same seed. */
export interface BenchRandom {
  /** A number of [0, 1). */
  draw(): number;
  /** An exponentially distributed number with the given mean. */
  drawExponential(mean: number): number;
}

/** Creates a source of numbers. */
export function createRandom(seed: number): BenchRandom {
  const generator = xoroshiro128plus(seed);
  const draw = () => uniformFloat64(generator);
  return { draw, drawExponential: (mean) => -mean * Math.log(1 - draw()) };
}
