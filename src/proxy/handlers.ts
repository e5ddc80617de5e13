import type { Json } from "../model/index.js";
import type { PeerHandlers } from "../peer/index.js";
import type { FleetGroups } from "./groups.js";
import type { FleetMembers } from "./members.js";

/** What this process does for its peers. */
export function createPeerHandlers(
  { membership, configuration, createHello }: FleetMembers,
  groups: FleetGroups,
  report: () => Json,
): PeerHandlers {
  return {
    getHello: createHello,
    onHello: (hello) => {
      membership.answerProbe(hello);
    },
    // Who asks takes this process for the owner. Serving it costs connections at the worst;
    // passing it on would let two processes that disagree send it back and forth.
    chooseOwner: (group) => {
      const owner = groups.gateway.findReplacementOwner(group);
      if (owner !== undefined) return { type: "elsewhere", owner };
      return { type: "here", gateway: groups.owner };
    },
    probe: (vm) => membership.probeForPeer(vm),
    checkTarget: (group, target, timeoutMs) => groups.checkTarget(group, target, timeoutMs),
    fetchConfiguration: (after) => Promise.resolve(configuration.answerFetch(after)),
    pushConfiguration: (json) => Promise.resolve(configuration.receivePush(json)),
    report,
  };
}
