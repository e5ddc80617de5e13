import { afterEach, expect, test } from "@jest/globals";
import { Cluster, waitUntil } from "./cluster.js";

let cluster: Cluster;

afterEach(() => cluster.dispose());

const find = (vm: string) =>
  cluster.store.find("radishwalk-proxies", vm) as { readonly missed?: boolean } | undefined;

const listFields = (vm: string, name: string) =>
  cluster.lines.filter((l) => l.vm === vm && l.event.name === name).map(({ fields }) => fields);

// The primary and two of three nodes are killed together and stay down. If they counted as silent, the remaining node
// would keep the primary and then wait 12 s for permits that nobody has; all writes would be refused meanwhile.
test("the remaining node replaces a primary that was killed together with most nodes", async () => {
  cluster = await Cluster.start({ nodes: 3 });
  await waitUntil(() => cluster.isListed());
  const client = await cluster.open("primary");
  await client.query("WRITE cello taken");
  await Promise.all([cluster.nodes[1]?.dispose(), cluster.nodes[2]?.dispose()]);
  await cluster.target(0).crash();
  await waitUntil(async () => (await client.query("READ cello")).startsWith("DATAROW taken"));
  expect(cluster.store.orders[0]?.id).not.toBe("i-0");
  expect(listFields("vm-0", "proxiesTold")[0]).toMatchObject({ told: 0, silent: 0, ended: 2 });
  expect(listFields("vm-0", "proxiesEnded")[0]).toEqual({ proxies: ["vm-1", "vm-2"] });
  await waitUntil(() => find("vm-1")?.missed === true && find("vm-2")?.missed === true);
});
