import type { LeadershipTracker, LeadershipPeers, Proxy } from "../leadership/index.js";
import { nodeEvents } from "../log/events/node.js";
import type { Logger } from "../log/index.js";
import type { Clock } from "../model/index.js";

/**
 * A listed proxy asks its data centre's reader each 0.4 s. One that has not for this long, in milliseconds,
 * is asked whether it lives: four of its questions are missing.
 */
const silentMs = 2000;
/** One that runs answers within this, busy or not, in milliseconds. */
const probeMs = 300;
const probeTries = 2;

/** The listed proxies of a data centre that its reader has not heard of for too long. */
export function listSilent(
  proxies: readonly Proxy[],
  own: { readonly vm: string; readonly dataCentre: string; readonly since: number },
  heardAt: ReadonlyMap<string, number>,
  now: number,
): readonly Proxy[] {
  return proxies.filter(({ vm, dataCentre, isMissed }) => {
    if (vm === own.vm || dataCentre !== own.dataCentre || isMissed === true) return false;
    return now - Math.max(own.since, heardAt.get(vm) ?? -Infinity) > silentMs;
  });
}

/** What the watch over a data centre's listed proxies needs. */
export interface WatchPorts {
  readonly vm: string;
  readonly dataCentre: string;
  readonly peers: Pick<LeadershipPeers, "share">;
  readonly keeper: Pick<LeadershipTracker, "latestUpdate">;
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
export class ProxyWatch {
  private readonly heardAt = new Map<string, number>();
  private readonly probing = new Set<string>();
  private readingSince: number | undefined;

  constructor(private readonly ports: WatchPorts) {}

  /** Notes a question of another proxy. */
  hear(vm: string): void {
    this.heardAt.set(vm, this.ports.clock.now());
  }

  /**
   * Looks at the proxies that are listed now; probes begin in the background. `isReading` says that this
   * process looks at the store itself, and the others of its data centre ask it.
   */
  look(proxies: readonly Proxy[], isReading: boolean): void {
    const { vm, dataCentre, clock } = this.ports;
    const now = clock.now();
    this.readingSince = isReading ? (this.readingSince ?? now) : undefined;
    const since = this.readingSince;
    if (since === undefined) return;
    for (const proxy of listSilent(proxies, { vm, dataCentre, since }, this.heardAt, now)) {
      void this.probe(proxy);
    }
  }

  private async probe(proxy: Proxy): Promise<void> {
    const { peers, keeper, logger, markMissed } = this.ports;
    if (this.probing.has(proxy.vm)) return;
    this.probing.add(proxy.vm);
    try {
      for (let tries = 0; tries < probeTries; tries += 1) {
        if ((await peers.share(proxy, keeper.latestUpdate, probeMs)) === undefined) continue;
        this.hear(proxy.vm);
        return;
      }
      logger.write(nodeEvents.listedProxyUnresponsive, { vm: proxy.vm });
      await markMissed(proxy);
    } finally {
      this.probing.delete(proxy.vm);
    }
  }
}
