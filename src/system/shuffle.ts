import type { Random } from "../model/index.js";

/** Returns the elements in random order. */
export function shuffle<T>(items: readonly T[], random: Random): readonly T[] {
  return items
    .map((item) => ({ item, order: random.draw() }))
    .sort((a, b) => a.order - b.order)
    .map(({ item }) => item);
}
