import { expect, test } from "@jest/globals";
import type { Proxy } from "../../src/leadership/index.js";
import { countTokenRequests, createRemotePeers } from "../../src/node/remote-peers.js";
import { singleRegion, Topology } from "../../src/topology/index.js";

const topology = new Topology(
  new Map([
    ["a", "east"],
    ["c", "west"],
  ]),
);
const proxy = (dataCentre?: string): Proxy => ({
  vm: "vm-1",
  address: { host: "127.0.0.1", port: 1 },
  ...(dataCentre === undefined ? {} : { dataCentre }),
});

function createCounted(known: Topology) {
  const kinds: string[] = [];
  const metrics = { recordCrossing: (kind: string) => void kinds.push(kind) };
  return { kinds, remote: createRemotePeers({ topology: known, dataCentre: "a" }, metrics) };
}

test("proxies of other regions, and those without a data centre, are remote", () => {
  const { remote } = createCounted(topology);
  expect([proxy("a"), proxy("c"), proxy()].map(remote.isRemote)).toEqual([false, true, true]);
  const { remote: single } = createCounted(singleRegion);
  expect([proxy("a"), proxy("c"), proxy()].map(single.isRemote)).toEqual([false, false, false]);
});

// A request that the gateway does not support is sent again as a call to the peer, which counts itself.
test("a request for tokens in another region counts once as control traffic", async () => {
  const { kinds, remote } = createCounted(topology);
  const request = { team: "cello", wanted: 1 };
  for (const type of ["silent", "unsupported"] as const) {
    const gateways = { requestTokens: () => Promise.resolve({ type }) };
    const counted = countTokenRequests(gateways, remote);
    for (const to of ["a", "c"]) await counted.requestTokens(proxy(to), request, 100);
  }
  expect(kinds).toEqual(["control"]);
});
