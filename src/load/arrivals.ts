import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Random } from "../model/index.js";

/** Creates a seeded random generator; each `stream` of a seed is an independent sequence. */
export function createRandom(seed: number, stream: number): Random {
  const generator = xoroshiro128plus(seed);
  for (let i = 0; i < stream; i++) generator.jump();
  return { draw: () => uniformFloat64(generator) };
}

/** Generates the times of Poisson arrivals before `endMs`, in milliseconds from the start; `rate` is per second. */
export function* generateArrivals(random: Random, rate: number, endMs: number): Generator<number> {
  const meanMs = 1000 / rate;
  for (let at = drawInterval(random, meanMs); at < endMs; at += drawInterval(random, meanMs))
    yield at;
}

function drawInterval(random: Random, meanMs: number): number {
  return -Math.log(1 - random.draw()) * meanMs;
}

/** Picks one of several names by weight; the first one when all weights are 0. */
export function pickWeighted<W extends string>(
  random: Random,
  weights: Readonly<Record<W, number>>,
  names: readonly [W, ...W[]],
): W {
  const total = names.reduce((sum, w) => sum + weights[w], 0);
  let remainingWeight = random.draw() * total;
  return names.find((w) => (remainingWeight -= weights[w]) < 0) ?? names[0];
}
