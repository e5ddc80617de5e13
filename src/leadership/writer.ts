import { emptyLeadership, encodeLeadership } from "./document.js";
import type { LeadershipDocument, VersionedLeadership } from "./document.js";
import type { LeadershipTracker } from "./tracker.js";
import type { LeadershipPorts } from "./ports.js";

/** Attempts of one write in case of concurrent writes and lost answers. */
const maxWriteAttempts = 6;
const writeRetryMs = 60;

/** Derives the next document from the stored one; returns `undefined` if the stored one rules the edit out. */
export type DocumentEdit = (document: LeadershipDocument) => LeadershipDocument | undefined;

/** The end of an edit. Times are on this proxy's clock. */
export type EditOutcome =
  /** The document was written; `sentAt` is the earliest time at which its write was sent. */
  | { readonly type: "written"; readonly leadership: VersionedLeadership; readonly sentAt: number }
  /** The stored document rules the edit out. */
  | { readonly type: "ruledOut" }
  /** No attempt succeeded; the last one may still take effect. */
  | { readonly type: "failed"; readonly reason: string };

/**
 * Edits the leadership document in the store by compare-and-swap. If the answer to a write is lost, the document is
 * read back. The write counts if it took effect. If not, it may still do so until the version that it expects is
 * replaced, which the next write does.
 */
export async function editLeadership(
  { clock, store }: Pick<LeadershipPorts, "clock" | "store">,
  tracker: LeadershipTracker,
  edit: DocumentEdit,
  onRead: () => void = () => undefined,
): Promise<EditOutcome> {
  let attempted: LeadershipDocument | undefined;
  let reason = "";
  for (let attempt = 0; attempt < maxWriteAttempts; attempt += 1) {
    if (attempt > 0) await clock.sleep(writeRetryMs * attempt);
    const askedAt = clock.now();
    const read = await store.read();
    if (read.type === "unavailable") {
      reason = read.reason;
      continue;
    }
    const held = read.type === "found" ? read.value : { version: 0, document: emptyLeadership };
    tracker.adopt({ leadership: held, promoted: [] });
    tracker.confirm(askedAt);
    onRead();
    if (attempted !== undefined && isSameDocument(attempted, held.document)) {
      return { type: "written", leadership: held, sentAt: askedAt };
    }
    const next = edit(held.document);
    if (next === undefined) return { type: "ruledOut" };
    const sentAt = clock.now();
    const result = await store.write(next, held.version);
    attempted = next;
    if (result.type !== "written") {
      reason = "reason" in result ? result.reason : "another write came first";
      continue;
    }
    const leadership = { version: result.object.version, document: next };
    tracker.adopt({ leadership, promoted: [] });
    onRead();
    return { type: "written", leadership, sentAt };
  }
  return { type: "failed", reason };
}

/** Whether two documents are equal. The holder's incarnation identifies a document as written by this process. */
function isSameDocument(a: LeadershipDocument, b: LeadershipDocument): boolean {
  return JSON.stringify(encodeLeadership(a)) === JSON.stringify(encodeLeadership(b));
}
