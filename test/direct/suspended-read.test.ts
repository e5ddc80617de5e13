import { expect, test } from "@jest/globals";
import type { Mark } from "../../src/model/index.js";
import { makeRead } from "../gateway/hop.js";
import { group, ProxyFixture } from "./fixture.js";

const mark: Mark = { term: { round: 1, vm: "p" }, offset: 7 };

// The process was suspended while its clock stood still, and detects that when the primary is looked up. If the read's
// position were determined before, a replica would answer it that lacks commits older than the staleness bound.
test("a read after a suspension does not require a position from before", async () => {
  const fixture = new ProxyFixture();
  fixture.openedAt = mark;
  fixture.groups.find(group)?.notePrimaryMark("p", mark, fixture.clock.now());
  const { primaries } = fixture.ports;
  let isSuspensionKnown = false;
  const find = primaries.find.bind(primaries);
  primaries.find = (name) => {
    if (!isSuspensionKnown) fixture.groups.forgetMarks();
    isSuspensionKnown = true;
    return find(name);
  };
  void fixture.open("own").run(makeRead("1"));
  await fixture.advance(1);
  expect(fixture.list("q", "work")).toHaveLength(0);
  expect(fixture.list("p", "work")).toHaveLength(1);
  await fixture.dispose();
});
