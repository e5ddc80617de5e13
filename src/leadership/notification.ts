import type { LeadershipTracker } from "./tracker.js";
import { findWaitEnd } from "./permit.js";
import type { LeadershipPorts, Proxy } from "./ports.js";

/** Telling another proxy takes a round trip; one that runs answers within this, busy or not. */
const shareTimeoutMs = 150;
/** Between two tries to tell those that did not answer: they may be back, or the cut may have healed. */
const notifyRetryMs = 100;

/** What came of telling the other proxies. */
export interface NotificationResult {
  /** When each that holds to the document now had answered, on this proxy's clock. */
  readonly notifiedAt: readonly number[];
  /** Those that did not answer, or hold to an older document. */
  readonly unanswered: readonly Proxy[];
}

type NotificationPorts = Pick<LeadershipPorts, "clock" | "peers">;

/** Tells other proxies what is held of the leadership; each that answers acts on nothing older. */
export async function notifyProxies(
  { clock, peers }: NotificationPorts,
  tracker: LeadershipTracker,
  others: readonly Proxy[],
): Promise<NotificationResult> {
  const { latestUpdate: word } = tracker;
  const { version } = word.leadership;
  const toldAt: number[] = [];
  const missed: Proxy[] = [];
  const tellOne = async (proxy: Proxy) => {
    const answer = await peers.share(proxy, word, shareTimeoutMs);
    if (answer !== undefined) tracker.adopt(answer);
    if (answer === undefined || answer.leadership.version < version) missed.push(proxy);
    else toldAt.push(clock.now());
  };
  await Promise.all(others.map(tellOne));
  return { notifiedAt: toldAt, unanswered: missed };
}

/**
 * Waits until no proxy that did not answer can still act on an older document, and tells them meanwhile: once
 * the cut that they were behind has healed, nothing need be waited for any more. `isListed` says
 * whether the proxies were read anew: one that is not known of may be there, as one that does not answer.
 */
export async function waitForPermitExpiry(
  ports: NotificationPorts,
  tracker: LeadershipTracker,
  begunAt: number,
  { notifiedAt: toldAt, unanswered: missed }: NotificationResult,
  isListed: boolean,
): Promise<void> {
  const { clock } = ports;
  const own = 1;
  const unknown = isListed ? 0 : 1;
  const proxies = own + toldAt.length + missed.length + unknown;
  let left = missed;
  let told = [begunAt, ...toldAt];
  for (;;) {
    const leftMs =
      findWaitEnd({ startedAt: begunAt, proxyCount: proxies, notifiedAt: told }) - clock.now();
    if (leftMs <= 0) return;
    await clock.sleep(Math.min(notifyRetryMs, leftMs));
    const telling = await notifyProxies(ports, tracker, left);
    left = telling.unanswered;
    told = [...told, ...telling.notifiedAt];
  }
}
