import { expect, test } from "@jest/globals";
import type { Proxy } from "../../src/leadership/index.js";
import { silentLogger } from "../../src/log/index.js";
import { ProxyRegistry } from "../../src/node/proxy-registry.js";
import type { NodeSettings } from "../../src/node/index.js";
import { FakeClock, makeRandom } from "../fleet/fakes.js";
import { address, makeSettings } from "./fixture.js";

const settings = makeSettings({ gateway: address, power: 0.324 });

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
