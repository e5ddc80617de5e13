import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Random } from "../model/index.js";

/** Builds a seeded source of randomness; each `stream` of one seed is another one. */
export function createRandom(seed: number, stream: number): Random {
  const generator = xoroshiro128plus(seed);
  for (let i = 0; i < stream; i++) generator.jump();
  return { draw: () => uniformFloat64(generator) };
}

/** Lists the times of Poisson arrivals up to `endMs`, in milliseconds from the start. */
export function* generateArrivals(random: Random, rate: number, endMs: number): Generator<number> {
  const meanMs = 1000 / rate;
  for (let at = drawGap(random, meanMs); at < endMs; at += drawGap(random, meanMs)) yield at;
}

function drawGap(random: Random, meanMs: number): number {
  return -Math.log(1 - random.draw()) * meanMs;
}

/** Picks one of several words by weight; the first one when all weights are 0. */
export function pickWeighted<W extends string>(
  random: Random,
  weights: Readonly<Record<W, number>>,
  words: readonly [W, ...W[]],
): W {
  const total = words.reduce((sum, w) => sum + weights[w], 0);
  let left = random.draw() * total;
  return words.find((w) => (left -= weights[w]) < 0) ?? words[0];
}
