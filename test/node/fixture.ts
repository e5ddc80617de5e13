import { LeadershipTracker, StallDetector } from "../../src/leadership/index.js";
import { silentLogger } from "../../src/log/index.js";
import type { Clock } from "../../src/model/index.js";
import type { NodeSettings } from "../../src/node/index.js";
import { strictBounds } from "../../src/rates/index.js";
import { singleRegion } from "../../src/topology/index.js";

export const address = { host: "10.0.0.1", port: 5000 };

/** Makes the settings of a node that is alone in its data centre and holds no gateway. */
export function makeSettings(change: Partial<NodeSettings> = {}): NodeSettings {
  return {
    vm: "vm-0",
    dataCentre: "a",
    callers: address,
    readiness: address,
    peers: address,
    gateway: undefined,
    power: 1,
    dataCentres: 1,
    topology: singleRegion,
    seeds: [],
    store: address,
    promotionAddress: address,
    graceMs: 6000,
    targetDrainMs: 7000,
    configurationApplyMs: 3000,
    rateBounds: strictBounds,
    storeReadsPerSecond: 2000,
    ...change,
  };
}

/** Makes a tracker that knows no targets and whose clocks agree. */
export function makeTracker(clock: Clock): LeadershipTracker {
  return new LeadershipTracker({
    clock,
    logger: silentLogger,
    stallDetector: new StallDetector({ monotonic: () => clock.now(), wall: () => clock.now() }),
    listTargets: () => [],
    onStall: () => undefined,
    onContactFailure: () => undefined,
    onSuperseded: () => undefined,
    onSilence: () => undefined,
  });
}
