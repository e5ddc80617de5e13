import { expect, test } from "@jest/globals";
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import type { PeerHello, VmNews } from "../../src/model/index.js";
import { decodeHello, encodeHello } from "../../src/peer/codec.js";
import { HelloSchema } from "../../src/peer/gen/radishwalk/peer/v1/peer_pb.js";

const makeNews = (name: string, state: VmNews["state"]): VmNews => ({
  vm: { name, dataCentre: "dc1", peer: { host: "10.0.0.1", port: 7432 }, state: "live" },
  incarnation: "1764700000000.2",
  state,
});

// A VM dies; the one that noticed tells others by the news on its probes.
// If the wire dropped them, only the few that probe the dead VM would know of its end,
// and the rest would go on sending requests to it until the platform's list catches up.
test("news of other VMs arrives as it was sent, and a hello without news has none", () => {
  const hello: PeerHello = { vm: "a", incarnation: "1.0", state: "ready", revision: 7 };
  const news = (["alive", "suspect", "leaving", "down"] as const).map((s) => makeNews(s, s));
  const send = (sent: PeerHello) =>
    decodeHello(fromBinary(HelloSchema, toBinary(HelloSchema, encodeHello(sent))));
  expect(send({ ...hello, news })).toEqual({ ...hello, news });
  expect(send(hello)).toEqual(hello);
});
