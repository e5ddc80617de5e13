import type { GroupRecord, PlatformFeed, RecordedTargets } from "../feed/index.js";
import type { TargetRecords } from "../leadership/index.js";

/** The records of the groups' targets, read from the store at each call. */
export class StoredTargetRecords implements TargetRecords {
  constructor(
    private readonly store: Pick<PlatformFeed, "readGroupRecords" | "writeGroupRecord">,
  ) {}

  async read(group: string): Promise<RecordedTargets | undefined> {
    const read = await this.store.readGroupRecords();
    if (read.type === "unavailable") return undefined;
    return findRecord(read.type === "found" ? read.value : [], group) ?? { targets: [] };
  }

  async forget(group: string, targets: readonly string[]): Promise<void> {
    const read = await this.store.readGroupRecords();
    if (read.type !== "found") return;
    const record = findRecord(read.value, group);
    const former = record?.former ?? [];
    const kept = former.filter(({ name }) => !targets.includes(name));
    if (record === undefined || kept.length === former.length) return;
    await this.store.writeGroupRecord({ ...record, former: kept });
  }
}

function findRecord(records: readonly GroupRecord[], group: string): GroupRecord | undefined {
  return records.find((record) => record.group === group);
}
