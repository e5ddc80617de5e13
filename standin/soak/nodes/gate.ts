import type { SoakSite } from "./site.js";
import { computeEarnedShare, type ServedReport, type ServedShare } from "./tally.js";

/** A kind or zone has a floor if it has at least this share of the operations. */
const minOperationsShare = 1 / 20;

/** Lists what has earned less than the site's floors: all operations, a kind or a zone. */
export function listBelowFloor(
  { total, kinds, zones }: ServedReport,
  { floors }: Pick<SoakSite, "floors">,
): readonly string[] {
  const hasFloor = ({ asked }: ServedShare) => asked >= total.asked * minOperationsShare;
  const listBelow = (shares: readonly ServedShare[], floor: number) =>
    shares
      .filter((share) => computeEarnedShare(share) < floor)
      .map(
        (share) => `${share.name} earned ${computeEarnedShare(share).toFixed(3)}, below ${floor}`,
      );
  return [
    ...listBelow([total], floors.total),
    ...listBelow(kinds.filter(hasFloor), floors.kind),
    ...listBelow(zones.filter(hasFloor), floors.zone),
  ];
}
