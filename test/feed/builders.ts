import type { ListedTarget, InvalidEntry, TargetListing } from "../../src/feed/index.js";

/** A target of the group `g`. */
export const listed = (name: string, port: number, change: object = {}): ListedTarget => ({
  group: "g",
  target: {
    name,
    address: { host: "h", port },
    dataCentre: "a",
    slots: 2,
    connections: 16,
    announcedRole: "replica",
    ...change,
  },
});

/** A listing of the store. */
export const listing = (
  targets: readonly ListedTarget[],
  refused: readonly InvalidEntry[] = [],
): TargetListing => ({ targets, invalidEntries: refused });
