import { DirectPeerClient } from "../../src/directpeer/index.js";
import { LeadershipTracker, StallDetector } from "../../src/leadership/index.js";
import { silentLogger } from "../../src/log/index.js";
import type { Clock } from "../../src/model/index.js";
import { StoreFollower } from "../../src/node/follower.js";
import type { StoreFollowerPorts } from "../../src/node/follower-ports.js";
import type { NodeSettings } from "../../src/node/index.js";
import { strictBounds } from "../../src/rates/index.js";
import { createSystemClock } from "../../src/system/index.js";
import { singleRegion } from "../../src/topology/index.js";
import { makeRandom } from "../fleet/fakes.js";

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

/** What a tracker in a test may do differently. */
interface TrackerChange {
  /** The wall clock; by default it agrees with the other. */
  readonly wall?: () => number;
  readonly onStall?: () => void;
}

/** Makes a tracker that knows no targets. */
export function makeTracker(clock: Clock, change: TrackerChange = {}): LeadershipTracker {
  const { wall = () => clock.now(), onStall = () => undefined } = change;
  return new LeadershipTracker({
    clock,
    logger: silentLogger,
    stallDetector: new StallDetector({ monotonic: () => clock.now(), wall }),
    listTargets: () => [],
    onStall,
    onContactFailure: () => undefined,
    onSuperseded: () => undefined,
    onSilence: () => undefined,
  });
}

/** Makes the follower of a node that reaches no peers, unless others are given. */
export function makeFollower(
  ports: Pick<StoreFollowerPorts, "settings" | "store" | "tracker" | "clock"> &
    Partial<StoreFollowerPorts>,
): StoreFollower {
  return new StoreFollower({
    peers: new DirectPeerClient(ports.settings.vm, silentLogger, createSystemClock()),
    random: makeRandom(1),
    logger: silentLogger,
    onServingConfig: () => undefined,
    onPoll: () => undefined,
    ...ports,
  });
}
