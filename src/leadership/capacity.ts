/** The fields of a proxy's entry that say how much work it can take. */
export type CapacityField = "power" | "linkMbps" | "descriptors";

/** A stated capacity that no machine can have, with the name of its field where it was stated. */
export interface InvalidCapacity {
  readonly field: string;
  readonly value: string;
}

/**
 * The highest values that are believed: cores, Mbit/s and file descriptors. No machine of a deployment comes
 * near them, so that a higher one is a mistake in its settings or its entry.
 */
const maxValues: Readonly<Record<CapacityField, number>> = {
  power: 1000,
  linkMbps: 100_000,
  descriptors: 1e9,
};

/** Whether a value is a usable capacity: a positive number that a machine can have. */
export function isValidCapacity(field: CapacityField, value: unknown): value is number {
  return typeof value === "number" && value > 0 && value <= maxValues[field];
}
