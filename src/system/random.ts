import type { Random } from "../model/index.js";

/** The runtime's own generator. Tests bring one with a seed. */
export function createSystemRandom(): Random {
  return { draw: () => Math.random() };
}
