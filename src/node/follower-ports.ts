import type { ServingConfig } from "../direct/index.js";
import type { DirectPeerClient } from "../directpeer/index.js";
import type { LeadershipTracker } from "../leadership/index.js";
import type { Logger } from "../log/index.js";
import type { Clock, Random } from "../model/index.js";
import type { NodeStore } from "./ports.js";
import type { NodeSettings } from "./settings.js";

/** The store's revision at the last poll, and when that poll was sent, on this process's clock. */
export interface StorePoll {
  readonly revision: number;
  readonly requestedAt: number;
}

/** The dependencies of `StoreFollower`. */
export interface StoreFollowerPorts {
  readonly settings: NodeSettings;
  readonly store: NodeStore;
  readonly peers: DirectPeerClient;
  readonly tracker: LeadershipTracker;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly onServingConfig: (config: ServingConfig) => void;
  /** Called after each poll, whatever its result. */
  readonly onPoll: () => void;
}
