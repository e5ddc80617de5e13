import type { LeadershipTracker } from "./tracker.js";
import { findWaitEnd } from "./permit.js";
import type { LeadershipPorts, Proxy } from "./ports.js";

/** Sending an update takes one round trip. A running proxy answers within this time even if it is busy. */
const shareTimeoutMs = 150;
/** Between two attempts to notify proxies that did not answer: they may be back, or the partition may have healed. */
const notifyRetryMs = 100;

/** A proxy that has ended, and when the connection attempt was begun that its machine refused. */
export interface EndedProxy {
  readonly proxy: Proxy;
  readonly triedAt: number;
}

/** Which proxies acknowledged an update. */
export interface NotificationResult {
  /** When each proxy that now has the document had answered, on this proxy's clock. */
  readonly notifiedAt: readonly number[];
  /** The proxies that did not answer or still have an older document. */
  readonly unanswered: readonly Proxy[];
  /** The proxies whose process has ended. */
  readonly ended: readonly EndedProxy[];
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
  const triedAt = clock.now();
  const notifiedAt: number[] = [];
  const unanswered: Proxy[] = [];
  const ended: EndedProxy[] = [];
  const notifyOne = async (proxy: Proxy) => {
    const result = await peers.share(proxy, update, shareTimeoutMs);
    switch (result.type) {
      case "answered":
        tracker.adopt(result.answer);
        if (result.answer.leadership.version < version) unanswered.push(proxy);
        else notifiedAt.push(clock.now());
        return;
      case "silent":
        unanswered.push(proxy);
        return;
      case "ended":
        ended.push({ proxy, triedAt });
        return;
    }
  };
  await Promise.all(others.map(notifyOne));
  return { notifiedAt, unanswered, ended };
}

/**
 * Waits until no other proxy can use the old primary: each was notified, has ended, or its permit has expired.
 * Meanwhile it repeats the notification: as soon as the partition heals and all have answered, the wait ends.
 * `isListed` is whether the list of proxies could be read for this change; if not, an unknown proxy may exist, which
 * counts as one that does not answer, and a listed one may run at another address than the one that was tried.
 */
export async function waitForPermitExpiry(
  ports: NotificationPorts,
  tracker: LeadershipTracker,
  startedAt: number,
  first: NotificationResult,
  isListed: boolean,
): Promise<void> {
  const { clock } = ports;
  let progress = { ...first, notifiedAt: [startedAt, ...first.notifiedAt] };
  for (;;) {
    if (isListed && areAllNotifiedOrEnded(progress)) return;
    const isRecheckDue = isListed && progress.unanswered.length === 0;
    const remainingMs = findPermitWaitEnd(progress, startedAt, isListed) - clock.now();
    if (remainingMs <= 0) return;
    if (!isRecheckDue) await clock.sleep(Math.min(notifyRetryMs, remainingMs));
    const remaining = [...progress.unanswered, ...progress.ended.map(({ proxy }) => proxy)];
    const result = await notifyProxies(ports, tracker, remaining);
    progress = { ...result, notifiedAt: [...progress.notifiedAt, ...result.notifiedAt] };
  }
}

/**
 * Whether no process can have a permit for the old document. An ended proxy counts only if its connection was
 * refused after the last other proxy was notified. One that restarted in between could have obtained a permit from
 * a proxy that did not know of the change yet; one that restarts afterwards learns of the change from any proxy.
 */
function areAllNotifiedOrEnded({ notifiedAt, unanswered, ended }: NotificationResult): boolean {
  const lastNotifiedAt = Math.max(...notifiedAt);
  return unanswered.length === 0 && ended.every(({ triedAt }) => triedAt >= lastNotifiedAt);
}

/**
 * Until when to wait for permits. Ended proxies do not belong to the notified majority here: those that restart
 * without reaching the store would complete a majority with the proxies that do not answer, and confirm these.
 */
function findPermitWaitEnd(
  { notifiedAt, unanswered, ended }: NotificationResult,
  startedAt: number,
  isListed: boolean,
): number {
  const unknown = isListed ? 0 : 1;
  const proxyCount = notifiedAt.length + unanswered.length + ended.length + unknown;
  return findWaitEnd({ startedAt, proxyCount, notifiedAt });
}
