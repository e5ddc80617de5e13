import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { createAdapter } from "../../platform/adapter.js";
import { createPromotionClient } from "../../platform/promoter.js";
import { silentLogger } from "../../src/log/index.js";
import type { NodeSettings, PromotionClient } from "../../src/node/index.js";
import { StandinMetadata } from "../../standin/direct/index.js";
import { HoldingRelay } from "./holding-relay.js";

const order = { group: "ledger", target: "i-1", holder: "a", token: 7 };
const timeoutMs = 100;
const arrivalMs = 300;
const storeTimeoutMs = 500;
const always = () => true;

let platform: StandinMetadata;
let relay: HoldingRelay;
let client: PromotionClient;
let settings: NodeSettings;

beforeEach(async () => {
  platform = new StandinMetadata();
  await platform.start();
  relay = new HoldingRelay(platform.address);
  const address = await relay.start();
  client = createPromotionClient(address);
  settings = { store: address, promotionAddress: address } as NodeSettings;
});

afterEach(async () => {
  await client.dispose();
  relay.dispose();
  await platform.dispose();
});

// A partition holds an order up: it was carried out after it, over those of later holders of the lease.
test("an order that was given up never arrives", async () => {
  relay.hold();
  expect((await client.promote(order, timeoutMs, always)).type).toBe("unknown");
  relay.release();
  await sleep(arrivalMs);
  expect(platform.orders).toEqual([]);
  expect((await client.promote(order, timeoutMs, always)).type).toBe("accepted");
});

// A connection that was cut since its last order holds the next one up; a killed process can't withdraw that.
test("each order is sent on a new connection", async () => {
  await client.promote(order, timeoutMs, always);
  await client.promote(order, timeoutMs, always);
  expect(relay.acceptedCount).toBe(2);
});

// A node that ends while its order is held up left it on its way.
test("an order that is pending when its node stops never arrives", async () => {
  relay.hold();
  const pending = client.promote(order, 5000, always);
  await sleep(timeoutMs);
  await client.dispose();
  expect((await pending).type).toBe("unknown");
  relay.release();
  await sleep(arrivalMs);
  expect(platform.orders).toEqual([]);
});

// The lease may be lost while the connection is established, as in a process that was frozen meanwhile.
test("an order that is outdated when its connection is established is not sent", async () => {
  const result = await client.promote(order, timeoutMs, () => false);
  expect(result).toMatchObject({ type: "unknown" });
  await sleep(timeoutMs);
  expect(platform.orders).toEqual([]);
});

// A conditional write that was held up took effect seconds later if nobody else had written since.
test("a write of the lease that was given up never takes effect", async () => {
  const { store } = createAdapter(settings, silentLogger);
  relay.hold();
  const document = { holder: { vm: "a", incarnation: "a-1" }, groups: {} };
  expect((await store.writeLeadership(document, 0)).type).toBe("unknown");
  relay.release();
  await sleep(storeTimeoutMs);
  expect(platform.find("radishwalk-leadership", "current")).toBeUndefined();
  await store.dispose();
});
