import {
  findOutdatedRecords,
  type FeedState,
  type GroupRecord,
  type PlatformFeed,
} from "../feed/index.js";
import { nodeEvents } from "../log/events/node.js";
import type { Logger } from "../log/index.js";

/** The dependencies of `TargetRecorder`. */
export interface RecorderPorts {
  readonly store: Pick<PlatformFeed, "readGroupRecords" | "writeGroupRecord">;
  readonly logger: Logger;
}

/**
 * Maintains the records of the groups' targets in the store. Every proxy reads them when it starts; one
 * proxy, chosen by the caller, writes them. If two write at once, one gets a conflict and reads again.
 */
export class TargetRecorder {
  private records: readonly GroupRecord[] | undefined;
  private isWriting = false;
  /** The targets that the last call of `update` was given. */
  private previousTargets: FeedState["targets"] | undefined;
  /** The targets that the stored records agree with. */
  private recordedTargets: FeedState["targets"] | undefined;

  constructor(private readonly ports: RecorderPorts) {}

  /** The records as last read or written; undefined before that and after a failed write. */
  get knownRecords(): readonly GroupRecord[] | undefined {
    return this.records;
  }

  /** Reads the records unless they are known. */
  async load(): Promise<void> {
    if (this.records !== undefined) return;
    const read = await this.ports.store.readGroupRecords();
    if (read.type !== "unavailable") this.records = read.type === "found" ? read.value : [];
  }

  /**
   * Writes the records that differ from the listed targets, once these are the same as in the previous
   * call. Each write makes every proxy read the store again, and entries appear one by one at a start.
   */
  async update(state: FeedState): Promise<void> {
    const { targets } = state;
    const isSettled = targets === this.previousTargets;
    this.previousTargets = targets;
    if (!isSettled || targets === this.recordedTargets || this.isWriting) return;
    this.isWriting = true;
    await this.load();
    for (const change of findOutdatedRecords(state, this.records ?? [])) await this.write(change);
    if (this.records !== undefined) this.recordedTargets = targets;
    this.isWriting = false;
  }

  private async write(change: GroupRecord): Promise<void> {
    const { group, targets } = change;
    if (this.records === undefined) return;
    const written = await this.ports.store.writeGroupRecord(change);
    const outcome = written.type;
    this.ports.logger.write(nodeEvents.targetRecordWritten, {
      group,
      targets: targets.length,
      outcome,
    });
    // After a failure the record may have been written by another proxy or by this one: it is read again.
    this.records =
      written.type === "written"
        ? [
            ...this.records.filter((record) => record.group !== group),
            { ...change, version: written.object.version },
          ]
        : undefined;
  }
}
