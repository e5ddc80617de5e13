import {
  findAnswer,
  type LeadershipPeers,
  type LeadershipTracker,
  type Proxy,
} from "../leadership/index.js";
import { nodeEvents } from "../log/events/node.js";
import type { Logger } from "../log/index.js";
import type { Clock } from "../model/index.js";

/**
 * A listed proxy sends a request to its data centre's reader every 0.4 s. After this long without one, in
 * milliseconds, at least four requests are missing and the proxy is probed.
 */
const silenceThresholdMs = 2000;
/** A running proxy answers within this time even when it is busy, in milliseconds. */
const probeTimeoutMs = 300;
const maxProbeAttempts = 2;

/** The listed proxies of a data centre that have not contacted its reader for too long. */
export function listSilentProxies(
  proxies: readonly Proxy[],
  own: { readonly vm: string; readonly dataCentre: string; readonly since: number },
  lastContactAt: ReadonlyMap<string, number>,
  now: number,
): readonly Proxy[] {
  return proxies.filter(({ vm, dataCentre, isMissed }) => {
    if (vm === own.vm || dataCentre !== own.dataCentre || isMissed === true) return false;
    return now - Math.max(own.since, lastContactAt.get(vm) ?? -Infinity) > silenceThresholdMs;
  });
}

/** The dependencies of `ProxyLivenessMonitor`. */
export interface ProxyLivenessPorts {
  readonly vm: string;
  readonly dataCentre: string;
  readonly peers: Pick<LeadershipPeers, "share">;
  readonly tracker: Pick<LeadershipTracker, "latestUpdate">;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly markMissed: (proxy: Proxy) => Promise<void>;
}

/**
 * Finds listed proxies that stopped without deregistering and marks them as missed. Otherwise a gateway that
 * lost power stays listed: statements are sent to it again after each avoidance period and wait for its
 * connection, it occupies the place of a live proxy, and each change of primary waits for it. The reader of a
 * data centre does this, since the other proxies contact it all the time. A live proxy that is marked loses
 * its place, so each one is probed first.
 */
export class ProxyLivenessMonitor {
  private readonly lastContactAt = new Map<string, number>();
  private readonly probing = new Set<string>();
  private pollingSince: number | undefined;

  constructor(private readonly ports: ProxyLivenessPorts) {}

  /** Records a request or an answer from another proxy. */
  recordContact(vm: string): void {
    this.lastContactAt.set(vm, this.ports.clock.now());
  }

  /**
   * Checks the proxies that are listed now and starts probes in the background. `isPollingStore` means that
   * this process polls the store itself, so that the others of its data centre send requests to it.
   */
  checkProxies(proxies: readonly Proxy[], isPollingStore: boolean): void {
    const { vm, dataCentre, clock } = this.ports;
    const now = clock.now();
    this.pollingSince = isPollingStore ? (this.pollingSince ?? now) : undefined;
    const since = this.pollingSince;
    if (since === undefined) return;
    for (const proxy of listSilentProxies(
      proxies,
      { vm, dataCentre, since },
      this.lastContactAt,
      now,
    )) {
      void this.probe(proxy);
    }
  }

  private async probe(proxy: Proxy): Promise<void> {
    const { peers, tracker, logger, markMissed } = this.ports;
    if (this.probing.has(proxy.vm)) return;
    this.probing.add(proxy.vm);
    try {
      for (let attempts = 0; attempts < maxProbeAttempts; attempts += 1) {
        const result = await peers.share(proxy, tracker.latestUpdate, probeTimeoutMs);
        if (findAnswer(result) === undefined) continue;
        this.recordContact(proxy.vm);
        return;
      }
      logger.write(nodeEvents.listedProxyUnresponsive, { vm: proxy.vm });
      await markMissed(proxy);
    } finally {
      this.probing.delete(proxy.vm);
    }
  }
}
