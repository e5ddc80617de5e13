import { expect, test } from "@jest/globals";
import type { Proxy } from "../../src/leadership/index.js";
import { silentLogger } from "../../src/log/index.js";
import { ProxyRegistry } from "../../src/node/proxy-registry.js";
import type { NodeSettings } from "../../src/node/index.js";
import { strictBounds } from "../../src/rates/index.js";
import { singleRegion } from "../../src/topology/index.js";
import { FakeClock, makeRandom } from "../fleet/fakes.js";

const address = { host: "10.0.0.1", port: 5000 };
const settings: NodeSettings = {
  vm: "vm-0",
  dataCentre: "a",
  callers: address,
  readiness: address,
  peers: address,
  gateway: address,
  power: 0.324,
  dataCentres: 1,
  topology: singleRegion,
  seeds: [],
  store: address,
  promotionAddress: address,
  graceMs: 6000,
  targetDrainMs: 7000,
  configurationApplyMs: 3000,
  rateBounds: strictBounds,
  storeReadsPerSecond: 2000,
};

async function register(own: NodeSettings): Promise<readonly Proxy[]> {
  const written: Proxy[] = [];
  const registry = new ProxyRegistry({
    settings: own,
    store: {
      listProxies: () => Promise.resolve({ type: "absent" }),
      register: (proxy) => Promise.resolve(written.push(proxy) > 0),
      deregister: () => Promise.resolve(true),
      removeMissed: () => Promise.resolve(),
    },
    clock: new FakeClock(),
    random: makeRandom(1),
    logger: silentLogger,
  });
  await registry.register();
  expect(registry.list()).toEqual(written);
  return written;
}

// Other nodes know a proxy's capacities from its entry alone. One that they do not find there does not count.
test("a proxy registers with its power, link and descriptors", async () => {
  const entry = { vm: "vm-0", address, dataCentre: "a", gateway: address, power: 0.324 };
  expect(await register(settings)).toEqual([entry]);
  const limits = { linkMbps: 7, descriptors: 4300 };
  expect(await register({ ...settings, ...limits })).toEqual([{ ...entry, ...limits }]);
});
