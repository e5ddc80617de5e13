import { expect, test } from "@jest/globals";
import type { GroupRecord } from "../../src/feed/index.js";
import type { StoreRead } from "../../src/model/index.js";
import { StoredTargetRecords } from "../../src/node/target-records.js";
import { listed } from "../feed/builders.js";

const { target: kept } = listed("kept", 1);
const { target: gone } = listed("gone", 2);
const record: GroupRecord = { group: "g", targets: [kept], former: [kept, gone], version: 5 };

function createRecords(read: StoreRead<readonly GroupRecord[]>) {
  const written: GroupRecord[] = [];
  const records = new StoredTargetRecords({
    readGroupRecords: () => Promise.resolve(read),
    writeGroupRecord: (next) => {
      written.push(next);
      return Promise.resolve({ type: "unavailable", reason: "not asked" });
    },
  });
  return { records, written };
}

// Without an answer it is unknown which targets may hold commits; a group without a record has none.
test("a record that can't be read is told from one that is not there", async () => {
  const down = createRecords({ type: "unavailable", reason: "status 503" }).records;
  expect(await down.read("g")).toBeUndefined();
  expect(await createRecords({ type: "absent" }).records.read("g")).toEqual({ targets: [] });
  const { records } = createRecords({ type: "found", value: [record] });
  expect(await records.read("g")).toBe(record);
  expect(await records.read("other")).toEqual({ targets: [] });
});

test("former targets are removed from the record that was read, and nothing is written without one", async () => {
  const { records, written } = createRecords({ type: "found", value: [record] });
  await records.forget("g", ["other"]);
  expect(written).toEqual([]);
  await records.forget("g", ["gone"]);
  expect(written).toEqual([{ ...record, former: [kept] }]);
});
