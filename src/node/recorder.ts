import {
  findRecordChanges,
  type FeedState,
  type GroupRecord,
  type PlatformFeed,
} from "../feed/index.js";
import { nodeEvents } from "../log/events/node.js";
import type { Logger } from "../log/index.js";

/** What a recorder needs. */
export interface RecorderPorts {
  readonly store: Pick<PlatformFeed, "readRecords" | "writeRecord">;
  readonly logger: Logger;
}

/**
 * Keeps the records of the groups' targets in the store. All proxies read them as they start; one, which
 * the caller chooses, writes them. Two that write at once meet in a conflict and read again.
 */
export class TargetRecorder {
  private records: readonly GroupRecord[] | undefined;
  private isWriting = false;
  /** The targets as they were when this was asked last, and those that the records say. */
  private seen: FeedState["targets"] | undefined;
  private recorded: FeedState["targets"] | undefined;

  constructor(private readonly ports: RecorderPorts) {}

  /** The records as they were last read or written; absent before they were. */
  get known(): readonly GroupRecord[] | undefined {
    return this.records;
  }

  /** Reads the records unless they are known. */
  async load(): Promise<void> {
    if (this.records !== undefined) return;
    const read = await this.ports.store.readRecords();
    if (read.type !== "unavailable") this.records = read.type === "found" ? read.value : [];
  }

  /**
   * Writes the records that are not what is listed, once that has stayed the same from one call to the
   * next. Each write makes all proxies read the store anew, and at a start entries come one by one.
   */
  async update(state: FeedState): Promise<void> {
    const { targets } = state;
    const isSettled = targets === this.seen;
    this.seen = targets;
    if (!isSettled || targets === this.recorded || this.isWriting) return;
    this.isWriting = true;
    await this.load();
    for (const change of findRecordChanges(state, this.records ?? [])) await this.write(change);
    if (this.records !== undefined) this.recorded = targets;
    this.isWriting = false;
  }

  private async write(change: GroupRecord): Promise<void> {
    const { group, targets } = change;
    if (this.records === undefined) return;
    const written = await this.ports.store.writeRecord(change);
    const outcome = written.type;
    this.ports.logger.write(nodeEvents.targetRecordWritten, {
      group,
      targets: targets.length,
      outcome,
    });
    // Another proxy has written it, or may have been this one's own write: it is read again.
    this.records =
      written.type === "written"
        ? [
            ...this.records.filter((known) => known.group !== group),
            { group, targets, version: written.object.version },
          ]
        : undefined;
  }
}
