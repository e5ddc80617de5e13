import { nodeEvents } from "../log/events/node.js";
import type { Logger } from "../log/index.js";
import type { Topology } from "../topology/index.js";

/** Logs each data centre that the settings name no region for, once, in a deployment with regions. */
export class RegionCheck {
  private readonly logged = new Set<string>();

  constructor(
    private readonly topology: Topology,
    private readonly logger: Logger,
  ) {}

  /** Checks data centres of the settings, of targets or of proxies. */
  check(dataCentres: Iterable<string>): void {
    if (!this.topology.hasRegions) return;
    for (const dataCentre of dataCentres) {
      if (this.topology.findRegion(dataCentre) !== undefined || this.logged.has(dataCentre))
        continue;
      this.logged.add(dataCentre);
      this.logger.write(nodeEvents.dataCentreWithoutRegion, { dataCentre });
    }
  }
}
