import type { Json } from "../model/index.js";
import type { PeerHandlers } from "../peer/index.js";
import type { FleetGroups } from "./groups.js";
import type { FleetMembers } from "./members.js";

/** Creates the handlers that answer this process's peers. */
export function createPeerHandlers(
  { membership, configuration, createHello }: FleetMembers,
  groups: FleetGroups,
  report: () => Json,
): PeerHandlers {
  return {
    getHello: createHello,
    onHello: (hello) => {
      membership.exchangeHello(hello);
    },
    // The peer that asks considers this process the owner. Serving the group although another VM
    // owns it costs extra connections at worst; forwarding the request could loop between two
    // processes that disagree about the owner.
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
