import type { LeadershipTracker } from "./tracker.js";
import { findWaitEnd } from "./permit.js";
import { findAnswer, type LeadershipAnswer, type LeadershipPorts, type Proxy } from "./ports.js";

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
    const answer = findAnswer(await peers.share(proxy, update, shareTimeoutMs));
    if (answer !== undefined) tracker.adopt(answer);
    if (answer !== undefined && hasAcknowledged(answer, proxy, version)) {
      notifiedAt.push(clock.now());
    } else {
      unanswered.push(proxy);
    }
  };
  await Promise.all(others.map(notifyOne));
  return { notifiedAt, unanswered };
}

/**
 * Whether a proxy no longer acts on an older document than `version`. Another proxy may have got the address of a
 * listed one that has moved; its answer says nothing about that one, which may run.
 */
function hasAcknowledged(answer: LeadershipAnswer, proxy: Proxy, version: number): boolean {
  return answer.vm === proxy.vm && answer.leadership.version >= version;
}

/**
 * Waits until no other proxy can use the old primary: each was notified, or its permit has expired. Meanwhile it repeats
 * the notification: as soon as all have answered, after the end of a partition or as new processes, the wait ends. A
 * refused connection does not end it: a machine that is cut off may run, reach the store and hold a permit.
 * `isListed` is whether the list of proxies could be read for this change; if not, an unknown proxy may exist, which
 * counts as one that does not answer.
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
    if (isListed && progress.unanswered.length === 0) return;
    const remainingMs = findPermitWaitEnd(progress, startedAt, isListed) - clock.now();
    if (remainingMs <= 0) return;
    await clock.sleep(Math.min(notifyRetryMs, remainingMs));
    const result = await notifyProxies(ports, tracker, progress.unanswered);
    progress = { ...result, notifiedAt: [...progress.notifiedAt, ...result.notifiedAt] };
  }
}

function findPermitWaitEnd(
  { notifiedAt, unanswered }: NotificationResult,
  startedAt: number,
  isListed: boolean,
): number {
  const unknown = isListed ? 0 : 1;
  const proxyCount = notifiedAt.length + unanswered.length + unknown;
  return findWaitEnd({ startedAt, proxyCount, notifiedAt });
}
