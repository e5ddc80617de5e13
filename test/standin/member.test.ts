import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { compareTerms, formatTerm } from "../../src/model/index.js";
import { Member } from "../../standin/target/index.js";
import { findCommonOffset } from "../../standin/target/log.js";
import { term } from "./build.js";

interface Operation {
  readonly type: "fence" | "promote" | "follow" | "commit" | "copy";
  readonly who: number;
  readonly other: number;
  readonly round: number;
}

const definition = {
  name: "t",
  columns: [{ name: "id", type: { name: "int4", oid: 23 }, isRequired: true }],
  uniques: [],
};

function commitOneRow(member: Member): boolean {
  const transaction = member.begin();
  try {
    member.beginWrite(transaction);
    const view = transaction.find("t");
    if (view === undefined) transaction.create(definition);
    else view.put(view.table.allocateId(), [member.log.offset]);
    member.commit(transaction);
    return true;
  } catch {
    return false;
  }
}

/** Does one step of the replication link's work directly, without a network. */
function copyOneRecord(replica: Member, members: readonly Member[]): void {
  const { followedPrimary } = replica;
  const primary = members.find((m) => m.name === followedPrimary?.name);
  if (
    followedPrimary === undefined ||
    primary === undefined ||
    !replica.canCopyFrom(followedPrimary)
  )
    return;
  if (!primary.isPrimaryIn(followedPrimary.term)) return;
  replica.truncateToCommonOffset({ lineage: primary.log.lineage, offset: primary.log.offset });
  for (const record of primary.log.list(replica.log.offset, 1)) replica.appendCopied(record);
}

function applyOperation(op: Operation, members: readonly Member[]): void {
  const member = members[op.who];
  const other = members[op.other];
  // A term belongs to one VM, which promotes only one target in it.
  const opTerm = term(op.round, `vm-${op.who}`);
  if (member === undefined || other === undefined) return;
  if (op.type === "fence") other.fence(opTerm);
  if (op.type === "promote") member.promote(opTerm);
  if (op.type === "copy") copyOneRecord(member, members);
  if (op.type === "follow" && member !== other) {
    const of = term(op.round, `vm-${op.other}`);
    member.follow({ name: other.name, address: { host: "", port: 0 }, term: of });
  }
  if (op.type === "commit") {
    const { mark, fencedAt, role } = member.status;
    const canCommit = role === "primary" && compareTerms(fencedAt, mark.term) === 0;
    expect(commitOneRow(member)).toBe(canCommit);
  }
}

function listRecords(member: Member): readonly string[] {
  return member.log
    .list(0)
    .map((r) => `${r.offset}@${formatTerm(r.term)} ${JSON.stringify(r.changes)}`);
}

// Fence, promote, follow, commit and copy operations come in any order, as from competing VMs. If
// two logs differed before their last common record, a target could be counted as holding a mark
// although it has another record there. If a fenced target could commit, an acknowledged write
// could be lost.
test("logs are equal up to their common offset, and only an unfenced primary commits", () => {
  const op = fc.record<Operation>({
    type: fc.constantFrom("fence", "promote", "follow", "commit", "copy"),
    who: fc.nat(2),
    other: fc.nat(2),
    round: fc.integer({ min: 1, max: 3 }),
  });
  fc.assert(
    fc.property(fc.array(op, { maxLength: 80, size: "max" }), (ops) => {
      const members = ["a", "b", "c"].map((name) => new Member(name));
      const [a, ...others] = members;
      for (const m of others) {
        m.follow({ name: a?.name ?? "", address: { host: "", port: 0 }, term: term(0, "") });
      }
      for (const o of ops) applyOperation(o, members);
      for (const m of members) {
        for (const n of members) {
          const common = findCommonOffset(
            { lineage: m.log.lineage, offset: m.log.offset },
            { lineage: n.log.lineage, offset: n.log.offset },
          );
          expect(listRecords(m).slice(0, common)).toEqual(listRecords(n).slice(0, common));
        }
      }
    }),
    { seed: 4, numRuns: 500 },
  );
});
