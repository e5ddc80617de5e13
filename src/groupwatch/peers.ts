import type { PeerFinding } from "../controller/failover/index.js";
import type { PeerCheck } from "../model/index.js";
import type { WatchPorts } from "./ports.js";

/** How many other VMs are asked to check a suspected primary. */
export const maxCheckerVms = 2;

/** Asks other VMs to check a target. Resolves as soon as one has reached it, otherwise once all have answered. */
export async function checkThroughPeers(
  ports: WatchPorts,
  group: string,
  target: string,
  timeoutMs: number,
): Promise<PeerFinding> {
  const vms = ports.listCheckerVms().slice(0, maxCheckerVms);
  const checks = vms.map((vm) => ports.peers.checkTarget(vm, group, target, timeoutMs));
  const findings = checks.map((check) => check.then(classifyCheck));
  const reached = findings.map((f) =>
    f.then((found) => found === "reached" || Promise.reject(new Error(found))),
  );
  return Promise.any(reached).then(
    () => "reached" as const,
    async () => ((await Promise.all(findings)).includes("unreached") ? "unreached" : "silent"),
  );
}

function classifyCheck(check: PeerCheck): PeerFinding {
  switch (check.type) {
    case "accepted":
    case "refused":
      return "reached";
    case "unreachable":
      return "unreached";
    case "silent":
      return "silent";
  }
}
