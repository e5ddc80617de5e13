import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "@jest/globals";
import { DirectPeerClient, DirectPeerServer } from "../../src/directpeer/index.js";
import type { LeadershipAnswer, Proxy } from "../../src/leadership/index.js";
import { silentLogger } from "../../src/log/index.js";
import { DisposableStore } from "../../src/model/index.js";
import { createSystemClock } from "../../src/system/index.js";
import { findAddress } from "../node/cluster.js";
import { DelayedLink } from "../node/delayed-link.js";

/** The shortest timeouts in use: of an update to a peer, and of a status request through one. */
const shareTimeoutMs = 150;
const relayTimeoutMs = 350;
const update = {
  leadership: { version: 3, document: { holder: undefined, groups: {} } },
  promoted: [],
};
const answer: LeadershipAnswer = {
  ...update,
  vm: "vm-1",
  listsAsker: true,
  confirmedAgoMs: 0,
  storeAgoMs: 0,
  storeRevision: 1,
  lookedAgoMs: 0,
};
let owned = new DisposableStore();

afterEach(async () => {
  await owned.dispose();
  owned = new DisposableStore();
});

/** A peer at a round trip of 60 ms that answers after a time, and a client that knows its distance or not. */
async function start(answerMs: number, isRemote: boolean, vmOfRegion = "") {
  const address = await findAddress();
  const server = owned.add(
    new DirectPeerServer(address, {
      receiveLeadership: () => answer,
      askTarget: async () => {
        await sleep(answerMs);
        return { type: "alive" };
      },
      encodeScene: () => "",
      grantTokens: () => ({ tokens: 1, lifeMs: 1000 }),
    }),
  );
  await server.listen();
  const proxy: Proxy = {
    vm: "vm-1",
    address: await owned.add(new DelayedLink(() => address)).start(),
  };
  let calls = 0;
  const isFar = ({ vm }: Proxy) => isRemote && vm !== vmOfRegion;
  const remote = { isRemote: isFar, onRemoteCall: () => void (calls += 1) };
  const client = new DirectPeerClient("vm-0", silentLogger, createSystemClock(), remote);
  return { client, proxy, countCalls: () => calls };
}

test("updates to a peer and requests for tokens hold at a round trip of 60 ms", async () => {
  const { client, proxy, countCalls } = await start(0, true);
  expect(await client.share(proxy, update, shareTimeoutMs)).toMatchObject({
    type: "answered",
    answer: { vm: "vm-1" },
  });
  const request = { team: "cello", wanted: 1 };
  expect(await client.takeTokens(proxy, request, 1000)).toMatchObject({ tokens: 1 });
  expect(countCalls()).toBe(2);
});

// The peer asks a target that is as far from it, which takes three round trips and a slot.
test("a status request through a peer holds at a round trip of 60 ms", async () => {
  const question = { group: "ledger", target: "p", demoteRound: undefined };
  const { client, proxy } = await start(260, true);
  expect(await client.askTarget(proxy, question, relayTimeoutMs)).toEqual({
    type: "answered",
    answer: { type: "alive" },
  });
});

// A near peer that is gone would be waited for as long as the slowest one of the other region takes.
test("the answers of another region do not stretch the timeouts of near peers", async () => {
  const question = { group: "ledger", target: "p", demoteRound: undefined };
  const { client, proxy } = await start(260, true, "near");
  expect(await client.askTarget(proxy, question, relayTimeoutMs)).toEqual({
    type: "answered",
    answer: { type: "alive" },
  });
  const near = { ...proxy, vm: "near" };
  expect(await client.askTarget(near, question, shareTimeoutMs)).toEqual({ type: "silent" });
  await sleep(300);
});

// Guards deployments without regions: a peer that is gone must not hold a change of primary up for longer.
test("a peer that is not in another region has the usual timeout", async () => {
  const question = { group: "ledger", target: "p", demoteRound: undefined };
  const { client, proxy, countCalls } = await start(260, false);
  expect(await client.askTarget(proxy, question, relayTimeoutMs)).toEqual({ type: "silent" });
  expect(countCalls()).toBe(0);
  // The late answer is on its way; without this wait it would fail after the test.
  await sleep(100);
});
