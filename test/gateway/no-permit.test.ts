import { afterEach, expect, test } from "@jest/globals";
import { waitUntil } from "../node/cluster.js";
import { findEnd, Hop, makeRead, makeWrite, type HopGateway } from "./hop.js";
import { learnMark } from "./redirect-fleet.js";

let hop: Hop;

afterEach(() => hop.dispose());

/** Starts a node with one gateway that has no permit to use primaries. */
async function startWithoutPermit(servesReads: boolean): Promise<HopGateway> {
  hop = await Hop.start();
  const [gateway] = hop.gateways;
  if (gateway === undefined) throw new Error("no gateway");
  learnMark(gateway.stage);
  gateway.refusal = "this node has no valid permit to use primaries";
  gateway.servesReads = servesReads;
  return gateway;
}

// The link between two regions is cut, and the gateways of one lose their permits. If they refused all statements, reads
// within their staleness bound would be refused although a replica of the region can answer them.
test("a gateway without a permit serves reads that replicas may answer, and nothing else", async () => {
  const { stage } = await startWithoutPermit(true);
  const reply = hop.open("own").run(makeRead("1"));
  await waitUntil(() => stage.list("q", "work").length > 0);
  stage.list("q", "work")[0]?.answer();
  expect(findEnd(await reply)).toBe("complete");
  expect(findEnd(await hop.open("own").run(makeWrite("2")))).toBe("busy");
  expect(findEnd(await hop.open("primary").run(makeRead("3")))).toBe("busy");
  expect(stage.list("p", "work")).toHaveLength(0);
});

test("without regions it serves no reads either", async () => {
  const { stage } = await startWithoutPermit(false);
  expect(findEnd(await hop.open("own").run(makeRead("1")))).toBe("busy");
  expect(stage.list("q", "work")).toHaveLength(0);
});

// The process of a gateway was suspended, and its clock stood still: what it knows of the primary's log appears younger
// than it is. A read would be answered by a replica that lacks commits older than the staleness bound if its position
// were determined before the suspension is detected, which the query of the permit does.
test("a gateway that was suspended does not serve a read by a position from before", async () => {
  const gateway = await startWithoutPermit(true);
  const { stage } = gateway;
  Object.defineProperty(gateway, "refusal", {
    get: () => {
      stage.groups.forgetMarks();
      return "this node has no valid permit to use primaries";
    },
  });
  expect(findEnd(await hop.open("own").run(makeRead("1")))).toBe("busy");
  expect(stage.list("q", "work")).toHaveLength(0);
});

// No position of the primary is known at a gateway without a permit. If it kept the read, the read would wait there
// for the permit and be refused, although another gateway can use the primary.
test("a read that needs the primary goes on to a gateway with a permit", async () => {
  hop = await Hop.start(2);
  const { first, second } = await hop.findFirst();
  first.refusal = "this node has no valid permit to use primaries";
  first.servesReads = true;
  first.stage.groups.forgetMarks();
  second.stage.groups.forgetMarks();
  const reply = hop.open("own").run(makeRead("1"));
  await waitUntil(() => [first, second].some(({ stage }) => stage.list("p", "work").length > 0));
  expect(first.stage.list("p", "work")).toHaveLength(0);
  second.stage.list("p", "work")[0]?.answer();
  expect(findEnd(await reply)).toBe("complete");
});
