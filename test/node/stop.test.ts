import { connect } from "node:net";
import { afterEach, expect, jest, test } from "@jest/globals";
import { DirectPeerServer } from "../../src/directpeer/index.js";
import type { LeadershipTracker } from "../../src/leadership/index.js";
import type { Address } from "../../src/model/index.js";
import { StoreFollower } from "../../src/node/follower.js";
import { Cluster, waitUntil } from "./cluster.js";

let cluster: Cluster;

afterEach(async () => {
  jest.restoreAllMocks();
  await cluster.dispose();
});

/** The parts of a node whose order at a stop matters. */
interface NodeParts {
  readonly tracker: LeadershipTracker;
  readonly peerServer: { dispose: () => void | Promise<void> };
}

const accepts = (address: Address | undefined): Promise<boolean> =>
  new Promise((resolve) => {
    const socket = connect(address?.port ?? 0, address?.host);
    socket.once("connect", () => {
      socket.destroy();
      resolve(true);
    });
    socket.once("error", () => resolve(false));
  });

/** Starts a node that serves a write, and records the state in which it closes its peer address. */
async function serve(isDraining: boolean) {
  cluster = await Cluster.start({ nodes: 1, gateways: true });
  const [node] = cluster.nodes;
  const [settings] = cluster.settings;
  if (node === undefined || settings === undefined) throw new Error("no node was started");
  const client = await cluster.open("primary");
  await waitUntil(async () => (await client.query("WRITE cello taken")).startsWith("COMPLETE"));
  const { tracker, peerServer } = node as unknown as NodeParts;
  expect(tracker.isPermitted).toBe(true);
  const seen: unknown[] = [];
  const isSomethingOpen = async () =>
    (await accepts(settings.callers)) || (await accepts(settings.gateway));
  const close = peerServer.dispose.bind(peerServer);
  peerServer.dispose = async () => {
    const isPermitted = tracker.isPermitted;
    seen.push({ isPermitted, isOpen: await isSomethingOpen() });
    await close();
  };
  if (isDraining) await node.drain();
  await node.dispose();
  return { seen, tracker, settings, client };
}

// A drained process deregisters, and peers promote a new primary without waiting for it. With a permit or a caller's
// connection left, it would read at the old primary what others have overwritten.
test.each([false, true])(
  "the permit is void and nothing else is open when the peer address closes, drained: %s",
  async (isDraining) => {
    const { seen, settings, client } = await serve(isDraining);
    expect(seen).toEqual([{ isPermitted: false, isOpen: false }]);
    expect(await accepts(settings.peers)).toBe(false);
    await waitUntil(() => client.isClosed);
  },
);

// An answer of the store or of a peer that was under way while the process stopped must not restore its permit.
test("a confirmation that arrives after the stop gives no permit", async () => {
  const { tracker } = await serve(false);
  tracker.confirm(performance.now() + 1000);
  expect(tracker.isPermitted).toBe(false);
});

// A process that asks the store or a peer before it listens could get a permit while no change can notify it.
test("a node polls only once it listens at its peer address", async () => {
  const listen = jest.spyOn(DirectPeerServer.prototype, "listen");
  const run = jest.spyOn(StoreFollower.prototype, "run");
  cluster = await Cluster.start({ nodes: 1 });
  expect(run).toHaveBeenCalledTimes(1);
  expect(listen.mock.invocationCallOrder[0]).toBeLessThan(run.mock.invocationCallOrder[0] ?? 0);
});

// Another process may hold the address. A node that served without it would use primaries and hear of no change.
test("a node that can't listen at its peer address does not serve", async () => {
  cluster = await Cluster.start({ nodes: 0 });
  const run = jest.spyOn(StoreFollower.prototype, "run");
  jest.spyOn(DirectPeerServer.prototype, "listen").mockRejectedValue(new Error("EADDRINUSE"));
  await expect(cluster.addNode("vm-0")).rejects.toThrow("EADDRINUSE");
  expect(run).not.toHaveBeenCalled();
});
