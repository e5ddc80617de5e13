import type { Random } from "../model/index.js";

/** Creates a random source from the runtime's generator. Tests use a seeded one instead. */
export function createSystemRandom(): Random {
  return { draw: () => Math.random() };
}
