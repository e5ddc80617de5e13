import type { Random } from "../model/index.js";
import { shuffle } from "../system/index.js";

/** The proxies that issue a team's tokens, without this one. */
export interface TokenIssuers {
  readonly responsive: readonly string[];
  /** Those in other regions that answer; a few near ones are asked before them. */
  readonly remote?: readonly string[];
  /** Those that have not answered lately; they are asked last. */
  readonly silent: readonly string[];
}

/** Near peers that are asked before those in other regions: the first round, and half of the second. */
const nearIssuersFirst = 4;

/**
 * Orders the issuers of a team in which they are asked, at random among those that are equally near. Those in other
 * regions come after a few near ones rather than after all: otherwise the tokens that they issue would expire while
 * a team whose callers are all in this region is refused.
 */
export function orderIssuers(
  { responsive, remote = [], silent }: TokenIssuers,
  random: Random,
): string[] {
  const near = shuffle(responsive, random);
  return [
    ...near.slice(0, nearIssuersFirst),
    ...shuffle(remote, random),
    ...near.slice(nearIssuersFirst),
    ...shuffle(silent, random),
  ];
}
