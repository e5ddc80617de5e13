import type { LeadershipTracker } from "./tracker.js";
import { findWaitEnd } from "./permit.js";
import type { LeadershipPorts, Proxy } from "./ports.js";

/** Sending an update takes one round trip. A running proxy answers within this time even if it is busy. */
const shareTimeoutMs = 150;
/** Between two attempts to notify proxies that did not answer: they may be back, or the partition may have healed. */
const notifyRetryMs = 100;

/** Which proxies acknowledged an update. */
export interface NotificationResult {
  /** When each proxy that now has the document had answered, on this proxy's clock. */
  readonly notifiedAt: readonly number[];
  /** The proxies that did not answer or still have an older document. */
  readonly unanswered: readonly Proxy[];
}

type NotificationPorts = Pick<LeadershipPorts, "clock" | "peers">;

/** Sends the leadership state to other proxies. One that acknowledges it no longer acts on an older document. */
export async function notifyProxies(
  { clock, peers }: NotificationPorts,
  tracker: LeadershipTracker,
  others: readonly Proxy[],
): Promise<NotificationResult> {
  const { latestUpdate: update } = tracker;
  const { version } = update.leadership;
  const notifiedAt: number[] = [];
  const unanswered: Proxy[] = [];
  const notifyOne = async (proxy: Proxy) => {
    const answer = await peers.share(proxy, update, shareTimeoutMs);
    if (answer !== undefined) tracker.adopt(answer);
    if (answer === undefined || answer.leadership.version < version) unanswered.push(proxy);
    else notifiedAt.push(clock.now());
  };
  await Promise.all(others.map(notifyOne));
  return { notifiedAt, unanswered };
}

/**
 * Waits until the permit of every proxy that did not answer has expired. Meanwhile it repeats the notification: as
 * soon as the partition heals and all have answered, the wait ends. `isListed` is whether the list of proxies could be
 * read for this change; if not, an unknown proxy may exist, which counts as one that does not answer.
 */
export async function waitForPermitExpiry(
  ports: NotificationPorts,
  tracker: LeadershipTracker,
  startedAt: number,
  { notifiedAt, unanswered }: NotificationResult,
  isListed: boolean,
): Promise<void> {
  const { clock } = ports;
  const own = 1;
  const unknown = isListed ? 0 : 1;
  const proxyCount = own + notifiedAt.length + unanswered.length + unknown;
  let remaining = unanswered;
  let allNotifiedAt = [startedAt, ...notifiedAt];
  for (;;) {
    const remainingMs =
      findWaitEnd({ startedAt, proxyCount, notifiedAt: allNotifiedAt }) - clock.now();
    if (remainingMs <= 0) return;
    await clock.sleep(Math.min(notifyRetryMs, remainingMs));
    const result = await notifyProxies(ports, tracker, remaining);
    remaining = result.unanswered;
    allNotifiedAt = [...allNotifiedAt, ...result.notifiedAt];
  }
}
