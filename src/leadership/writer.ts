import { emptyLeadership, encodeLeadership } from "./document.js";
import type { LeadershipDocument, VersionedLeadership } from "./document.js";
import type { LeadershipTracker } from "./tracker.js";
import type { LeadershipPorts } from "./ports.js";

/** Tries of one write against others' writes and lost answers. */
const maxWriteAttempts = 6;
const writeRetryMs = 60;

/** Makes the next document of the one that the store holds, or nothing when that bars it. */
export type DocumentEdit = (document: LeadershipDocument) => LeadershipDocument | undefined;

/** A document that was written, and when its write was sent at the earliest, on this proxy's clock. */
export interface WrittenLeadership {
  readonly leadership: VersionedLeadership;
  readonly sentAt: number;
}

/**
 * Edits the leadership document in the store. After a lost answer it is read back: the write may have taken
 * effect, which then counts, or may do so later as long as its version still holds, which the next write
 * ends.
 */
export async function editLeadership(
  { clock, store }: Pick<LeadershipPorts, "clock" | "store">,
  tracker: LeadershipTracker,
  edit: DocumentEdit,
  onRead: () => void = () => undefined,
): Promise<WrittenLeadership | undefined> {
  let attempted: LeadershipDocument | undefined;
  for (let tries = 0; tries < maxWriteAttempts; tries += 1) {
    if (tries > 0) await clock.sleep(writeRetryMs * tries);
    const askedAt = clock.now();
    const read = await store.read();
    if (read.type === "unavailable") continue;
    const held = read.type === "found" ? read.value : { version: 0, document: emptyLeadership };
    tracker.adopt({ leadership: held, promoted: [] });
    tracker.confirm(askedAt);
    onRead();
    if (attempted !== undefined && isSameDocument(attempted, held.document)) {
      return { leadership: held, sentAt: askedAt };
    }
    const next = edit(held.document);
    if (next === undefined) return undefined;
    const sentAt = clock.now();
    const result = await store.write(next, held.version);
    attempted = next;
    if (result.type !== "written") continue;
    const leadership = { version: result.object.version, document: next };
    tracker.adopt({ leadership, promoted: [] });
    onRead();
    return { leadership, sentAt };
  }
  return undefined;
}

/** Whether two documents say the same; the holder's incarnation makes one's own known. */
function isSameDocument(a: LeadershipDocument, b: LeadershipDocument): boolean {
  return JSON.stringify(encodeLeadership(a)) === JSON.stringify(encodeLeadership(b));
}
