import { expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  CapacityCheck,
  decodeProxy,
  encodeProxy,
  listInvalidCapacities,
} from "../../platform/proxies.js";
import { parseSettings } from "../../platform/settings.js";
import type { Json, StoredObject } from "../../src/model/index.js";
import { makeProxy } from "../gateway/builders.js";

const makeObject = (value: Json): StoredObject => ({
  kind: "proxies",
  name: "vm-1",
  version: 3,
  value,
});
const address = { host: "10.0.0.1", port: 7000 };

test("an entry keeps its link and descriptors beside its power", () => {
  const proxy = { ...makeProxy(1), linkMbps: 35.5, descriptors: 4300 };
  const value = encodeProxy(proxy);
  expect(value).toMatchObject({ power: 0.3, "link-mbps": 35.5, descriptors: 4300 });
  expect(decodeProxy(makeObject(value))).toEqual({ ...proxy, version: 3 });
});

// Guards against a change of the entries of nodes whose settings state neither value, which older builds read.
test("an entry without the two fields is encoded and decoded as before", () => {
  const { vm, ...rest } = makeProxy(1);
  expect(encodeProxy({ vm, ...rest })).toEqual(rest);
  expect(decodeProxy(makeObject({ address }))).toEqual({ vm, address, version: 3 });
});

// Another process wrote nonsense into an entry. The proxy stays listed, and the rest of its entry counts.
test("invalid capacities are left out and listed with their values, whatever they are", () => {
  const value = { address, power: 1, "link-mbps": -7, descriptors: "many" };
  expect(decodeProxy(makeObject(value))).toEqual({ vm: "vm-1", address, power: 1, version: 3 });
  expect(listInvalidCapacities(makeObject(value))).toEqual([
    { field: "link-mbps", value: "-7" },
    { field: "descriptors", value: '"many"' },
  ]);
  fc.assert(
    fc.property(fc.jsonValue(), fc.jsonValue(), (link, descriptors) => {
      const object = makeObject({ address, "link-mbps": link, descriptors } as Json);
      const proxy = decodeProxy(object);
      const isLinkKept = proxy?.linkMbps !== undefined;
      const isCountKept = proxy?.descriptors !== undefined;
      expect(listInvalidCapacities(object)).toHaveLength(
        Number(!isLinkKept) + Number(!isCountKept),
      );
    }),
    { seed: 11 },
  );
});

// The list is read every second: a line for each reading would hide everything else.
test("an invalid value is logged once, and a new one again", () => {
  const lines: unknown[] = [];
  const check = new CapacityCheck({ write: (_event, fields) => lines.push(fields) });
  const first = makeObject({ address, "link-mbps": 1e6 });
  for (let i = 0; i < 3; i += 1) check.check([first]);
  check.check([makeObject({ address, "link-mbps": 2e6 })]);
  expect(lines).toEqual([
    { proxy: "vm-1", field: "link-mbps", value: "1000000" },
    { proxy: "vm-1", field: "link-mbps", value: "2000000" },
  ]);
});

const settingsText = [
  "node-name=vm-1",
  "zone=a",
  "listen.frontend=10.0.0.1:1",
  "listen.readiness=10.0.0.1:2",
  "platform.address=10.0.0.2:3",
  "cloud-api.address=10.0.0.3:4",
];

test("the settings state the link and the descriptors", () => {
  const limits = ["limits.bandwidth-mbps=7.5", "limits.max-fds=8192"];
  const read = parseSettings([...settingsText, ...limits].join("\n"));
  expect(read).toMatchObject({ type: "read", settings: { linkMbps: 7.5, descriptors: 8192 } });
});

// A process with an invalid limit must start: without it the fleet has one node less.
test("invalid limits in the settings are left out and kept for the log", () => {
  const limits = ["limits.bandwidth-mbps=fast", "limits.max-fds=-1"];
  const read = parseSettings([...settingsText, ...limits].join("\n"));
  if (read.type !== "read") throw new Error(read.faults.join());
  const { linkMbps, descriptors, invalidCapacities } = read.settings;
  expect([linkMbps, descriptors]).toEqual([undefined, undefined]);
  expect(invalidCapacities).toEqual([
    { field: "limits.bandwidth-mbps", value: "fast" },
    { field: "limits.max-fds", value: "-1" },
  ]);
});
