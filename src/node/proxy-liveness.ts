import type { LeadershipKeeper, LeadershipPeers, Proxy } from "../leadership/index.js";
import { nodeEvents } from "../log/events/node.js";
import type { Logger } from "../log/index.js";
import type { Clock } from "../model/index.js";

/**
 * A listed proxy asks its data centre's reader each 0.4 s. One that has not for this long, in milliseconds,
 * is asked whether it lives: four of its questions are missing.
 */
const silenceThresholdMs = 2000;
/** One that runs answers within this, busy or not, in milliseconds. */
const probeTimeoutMs = 300;
const maxProbeAttempts = 2;

/** The listed proxies of a data centre that its reader has not heard of for too long. */
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

/** What the watch over a data centre's listed proxies needs. */
export interface ProxyLivenessPorts {
  readonly vm: string;
  readonly dataCentre: string;
  readonly peers: Pick<LeadershipPeers, "share">;
  readonly tracker: Pick<LeadershipKeeper, "word">;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly markMissed: (proxy: Proxy) => Promise<void>;
}

/**
 * Finds listed proxies that are gone without a word, and marks them as missed. A gateway that lost its
 * power stays listed otherwise: statements go to it again after each pause and wait for its connection, it
 * keeps a place from one that lives, and each change of primary waits for it. Done by whoever reads the
 * store for its data centre, whom the others ask all the time. A mark on one that lives costs it its place.
 */
export class ProxyLivenessMonitor {
  private readonly lastContactAt = new Map<string, number>();
  private readonly probing = new Set<string>();
  private pollingSince: number | undefined;

  constructor(private readonly ports: ProxyLivenessPorts) {}

  /** Notes a question of another proxy. */
  recordContact(vm: string): void {
    this.lastContactAt.set(vm, this.ports.clock.now());
  }

  /**
   * Looks at the proxies that are listed now; probes begin in the background. `isPollingStore` says that this
   * process looks at the store itself, and the others of its data centre ask it.
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
      for (let tries = 0; tries < maxProbeAttempts; tries += 1) {
        if ((await peers.share(proxy, tracker.word, probeTimeoutMs)) === undefined) continue;
        this.recordContact(proxy.vm);
        return;
      }
      logger.write(nodeEvents.proxySilent, { vm: proxy.vm });
      await markMissed(proxy);
    } finally {
      this.probing.delete(proxy.vm);
    }
  }
}
