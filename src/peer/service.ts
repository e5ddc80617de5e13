import type { ServiceImpl } from "@connectrpc/connect";
import type { Clock, Json } from "../model/index.js";
import { decodeHello, decodeVm, requireField, encodeHello } from "./codec.js";
import { encodeControlResult } from "./codec-status.js";
import type { Hello, Peer } from "./gen/radishwalk/peer/v1/peer_pb.js";
import type { PeerHandlers } from "./handlers.js";
import { ServedStream } from "./served-stream.js";

/** Binds the service to what the process does for its peers. */
export function createPeerService(
  handlers: PeerHandlers,
  clock: Pick<Clock, "now">,
): ServiceImpl<typeof Peer> {
  const greet = (message: Hello | undefined): void => handlers.onHello(decodeHello(message));
  const reply = <T>(rest: T): T & { readonly hello: Hello } => ({
    ...rest,
    hello: encodeHello(handlers.getHello()),
  });
  return {
    converse: (requests, { signal }) => new ServedStream(handlers, clock, signal).serve(requests),
    probe: ({ hello }) => {
      greet(hello);
      return reply({});
    },
    announce: ({ hello }) => {
      greet(hello);
      return reply({});
    },
    probeThrough: async ({ hello, vm, timeoutMs }) => {
      greet(hello);
      const found = await handlers.probe(decodeVm(requireField(vm, "vm")), timeoutMs);
      return found.type === "answered"
        ? reply({ result: { case: "answered", value: encodeHello(found.hello) } as const })
        : reply({ result: { case: "silent", value: found.reason } as const });
    },
    checkTarget: async ({ hello, group, target, timeoutMs }) => {
      greet(hello);
      const found = await handlers.checkTarget(group, target, timeoutMs);
      const result = encodeControlResult(found);
      return reply({ result });
    },
    fetchConfiguration: async ({ hello, afterRevision }) => {
      greet(hello);
      const found = await handlers.fetchConfiguration(afterRevision);
      switch (found.type) {
        case "found":
          return reply({
            result: { case: "foundJson", value: JSON.stringify(found.value) } as const,
          });
        case "absent":
          return reply({ result: { case: "absent", value: true } as const });
        case "unavailable":
          return reply({ result: { case: "unavailable", value: found.reason } as const });
      }
    },
    pushConfiguration: async ({ hello, configurationJson }) => {
      greet(hello);
      const revision = await handlers.pushConfiguration(JSON.parse(configurationJson) as Json);
      return reply({ revision });
    },
    report: ({ hello }) => {
      greet(hello);
      return reply({ statusJson: JSON.stringify(handlers.report()) });
    },
  };
}
