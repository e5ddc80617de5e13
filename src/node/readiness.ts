import type { LeadershipTracker } from "../leadership/index.js";
import { nodeEvents } from "../log/events/node.js";
import type { Logger } from "../log/index.js";
import type { Clock, Disposable } from "../model/index.js";
import type { Topology } from "../topology/index.js";
import { findMaxUnconfirmedMs } from "./confirmation-age.js";
import type { StoreFollower } from "./follower.js";

/**
 * An unlisted node that has had no answer for this long reports that it is not ready, in milliseconds. Two
 * requests to other proxies and one poll of the store have failed by then.
 */
const maxSilenceMs = 2500;
/** In milliseconds: the balancer asks once a second and sends callers elsewhere after two answers. */
const balancerReactionMs = 2300;

/** The dependencies of `ReadinessMonitor`. */
export interface ReadinessPorts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly topology: Topology;
  readonly tracker: Pick<LeadershipTracker, "confirmedAt">;
  readonly follower: Pick<StoreFollower, "heardAt" | "isInitialised" | "isUnlisted"> & {
    readonly registry: Pick<StoreFollower["registry"], "list">;
  };
  readonly closeIdleCallers: () => void;
}

/** Decides whether the balancer should send callers to this node. */
export class ReadinessMonitor implements Disposable {
  private wasReady = false;
  private idleCloseTimer: NodeJS.Timeout | undefined;

  constructor(private readonly ports: ReadinessPorts) {}

  /**
   * Whether the balancer should send callers here. A listed node must know the configuration and have been
   * confirmed recently; an unlisted one must know the configuration and a gateway, and have had an answer.
   */
  isReady(): boolean {
    const { clock, logger, topology, tracker, follower } = this.ports;
    const now = clock.now();
    const { confirmedAt } = tracker;
    const maxUnconfirmedMs = findMaxUnconfirmedMs(topology);
    const { heardAt, registry, isUnlisted } = follower;
    const isPermitted = confirmedAt !== undefined && now - confirmedAt < maxUnconfirmedMs;
    // Without another listed proxy, no gateway could run a statement and all callers would be refused.
    const hasOthers = registry.list().some(({ isMissed }) => isMissed !== true);
    const isInTouch = hasOthers && heardAt !== undefined && now - heardAt < maxSilenceMs;
    const isReady = follower.isInitialised && (isUnlisted ? isInTouch : isPermitted);
    if (isReady !== this.wasReady) {
      this.wasReady = isReady;
      logger.write(nodeEvents.readinessChanged, { isReady });
      this.scheduleIdleClose(isReady);
    }
    return isReady;
  }

  dispose(): void {
    clearTimeout(this.idleCloseTimer);
  }

  /**
   * Closes idle sessions once the balancer no longer sends callers here. They reconnect through another node;
   * their statements would otherwise be refused for as long as this node is not ready.
   */
  private scheduleIdleClose(isReady: boolean): void {
    clearTimeout(this.idleCloseTimer);
    if (isReady) return;
    this.idleCloseTimer = setTimeout(this.ports.closeIdleCallers, balancerReactionMs).unref();
  }
}
