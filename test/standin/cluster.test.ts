import { expect, test } from "@jest/globals";
import { HttpObjectStore } from "../../src/platform/index.js";
import { buildGroups, sizes, startCluster } from "../../standin/index.js";
import { connectTo, findSqlState, waitForStatus } from "./build.js";

test("a cluster's platform lists the groups whose targets answer", async () => {
  const groups = buildGroups(sizes.ferrante, 2, { lagMs: 5 });
  const cluster = await startCluster({ groups });
  const store = new HttpObjectStore({ url: cluster.platform.url });
  const listed = await store.listGroups();
  expect(listed).toEqual({ type: "found", value: cluster.groups.map((g) => g.group) });
  const [, second] = cluster.groups;
  const [primary, replica] = second?.targets ?? [];
  if (primary === undefined || replica === undefined) throw new Error("no targets");
  const client = await connectTo(primary);
  expect(await findSqlState(client.query("CREATE TABLE seat (id int)"))).toBe("CREATE");
  await waitForStatus(replica, (s) => s.mark.offset === 1);
  expect(replica.target).toMatchObject({ dataCentre: "barracas", slots: 2, connections: 16 });
  await client.end();
  store.dispose();
  await cluster.dispose();
});
