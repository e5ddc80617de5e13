import type { Json } from "../model/index.js";
import type { PeerHandlers } from "../peer/index.js";
import type { FleetGroups } from "./groups.js";
import type { FleetMembers } from "./members.js";

/** What this process does for its peers. */
export function createPeerHandlers(
  { membership, configuration, describe }: FleetMembers,
  groups: FleetGroups,
  report: () => Json,
): PeerHandlers {
  return {
    getHello: describe,
    onHello: (hello) => {
      membership.receive(hello);
    },
    // Who asks takes this process for the owner. Serving it costs connections at the worst;
    // passing it on would let two processes that disagree send it back and forth.
    chooseOwner: (group) => {
      const owner = groups.gateway.findSuccessor(group);
      if (owner !== undefined) return { type: "elsewhere", owner };
      return { type: "here", gateway: groups.owner };
    },
    probe: (vm) => membership.relayProbe(vm),
    checkTarget: (group, target, timeoutMs) => groups.checkTarget(group, target, timeoutMs),
    fetchConfiguration: (after) => Promise.resolve(configuration.answerFetch(after)),
    pushConfiguration: (json) => Promise.resolve(configuration.receive(json)),
    report,
  };
}
