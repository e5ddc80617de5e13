import type { ServiceImpl } from "@connectrpc/connect";
import type { Clock, Json } from "../model/index.js";
import { decodeHello, decodeVm, requireField, encodeHello } from "./codec.js";
import { encodeControlResult } from "./codec-status.js";
import type { Hello, Peer } from "./gen/radishwalk/peer/v1/peer_pb.js";
import type { PeerHandlers } from "./handlers.js";
import { ServedStream } from "./served-stream.js";

/** Creates the implementation of the peer service. It converts messages and calls the handlers. */
export function createPeerService(
  handlers: PeerHandlers,
  clock: Pick<Clock, "now">,
): ServiceImpl<typeof Peer> {
  const receiveHello = (message: Hello | undefined): void => handlers.onHello(decodeHello(message));
  const respond = <T>(rest: T): T & { readonly hello: Hello } => ({
    ...rest,
    hello: encodeHello(handlers.getHello()),
  });
  return {
    converse: (requests, { signal }) => new ServedStream(handlers, clock, signal).serve(requests),
    probe: ({ hello }) => {
      receiveHello(hello);
      return respond({});
    },
    announce: ({ hello }) => {
      receiveHello(hello);
      return respond({});
    },
    probeThrough: async ({ hello, vm, timeoutMs }) => {
      receiveHello(hello);
      const found = await handlers.probe(decodeVm(requireField(vm, "vm")), timeoutMs);
      return found.type === "answered"
        ? respond({ result: { case: "answered", value: encodeHello(found.hello) } as const })
        : respond({ result: { case: "silent", value: found.reason } as const });
    },
    checkTarget: async ({ hello, group, target, timeoutMs }) => {
      receiveHello(hello);
      const found = await handlers.checkTarget(group, target, timeoutMs);
      const result = encodeControlResult(found);
      return respond({ result });
    },
    fetchConfiguration: async ({ hello, afterRevision }) => {
      receiveHello(hello);
      const found = await handlers.fetchConfiguration(afterRevision);
      switch (found.type) {
        case "found":
          return respond({
            result: { case: "foundJson", value: JSON.stringify(found.value) } as const,
          });
        case "absent":
          return respond({ result: { case: "absent", value: true } as const });
        case "unavailable":
          return respond({ result: { case: "unavailable", value: found.reason } as const });
      }
    },
    pushConfiguration: async ({ hello, configurationJson }) => {
      receiveHello(hello);
      const revision = await handlers.pushConfiguration(JSON.parse(configurationJson) as Json);
      return respond({ revision });
    },
    report: ({ hello }) => {
      receiveHello(hello);
      return respond({ statusJson: JSON.stringify(handlers.report()) });
    },
  };
}
