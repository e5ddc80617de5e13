import type { RemotePeers } from "../directpeer/index.js";
import type { Proxy } from "../leadership/index.js";
import type { Metrics } from "../metric/index.js";
import type { Forwarding } from "./forwarding.js";
import type { NodeSettings } from "./settings.js";

/** Tells which proxies are in another region than this node, and counts the messages to them. */
export function createRemotePeers(
  { topology, dataCentre }: Pick<NodeSettings, "topology" | "dataCentre">,
  metrics: Pick<Metrics, "recordCrossing">,
): RemotePeers {
  return {
    isRemote: (proxy: Proxy) =>
      topology.measureDistance(dataCentre, proxy.dataCentre ?? "") === "remote",
    onRemoteCall: () => metrics.recordCrossing("control"),
  };
}

/** Counts the requests for tokens that are sent over the connections for statements. */
export function countTokenRequests(
  gateways: Pick<Forwarding, "requestTokens">,
  { isRemote, onRemoteCall }: RemotePeers,
): Pick<Forwarding, "requestTokens"> {
  return {
    requestTokens: async (proxy, request, timeoutMs) => {
      const result = await gateways.requestTokens(proxy, request, timeoutMs);
      // An unsupported request is sent as a call to the peer instead, which is counted there.
      if (result.type !== "unsupported" && isRemote(proxy)) onRemoteCall();
      return result;
    },
  };
}
