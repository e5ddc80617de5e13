import type { Fleet, FleetMember } from "../fleet.js";
import type { FaultyLink } from "../link.js";
import type { StandinTarget } from "../target/index.js";
import type { TargetSelector, Fault, CutDirection } from "./plan.js";
import { findPrimary } from "./verify.js";

/** Ends a fault; resolves when the affected process runs again. */
export type EndFault = () => Promise<void>;

/** Lists the targets of all groups, in the order of the target indexes of plans. */
export function listTargets(fleet: Fleet): readonly StandinTarget[] {
  return fleet.cluster.groups.flatMap((g) => g.targets);
}

/** Returns the name of what a fault would affect now, such as `group-1-2`, `vm-3` or `platform`. */
export function getAffectedName(fleet: Fleet, fault: Fault): string {
  if ("vm" in fault) return getMember(fleet, fault.vm).vm.name;
  return "target" in fault ? getTarget(fleet, fault.target).name : "platform";
}

/** Injects a fault and returns the function that ends it. */
export async function startFault(fleet: Fleet, fault: Fault): Promise<EndFault> {
  const { platform } = fleet.cluster;
  switch (fault.type) {
    case "killTarget": {
      const target = getTarget(fleet, fault.target);
      await target.kill();
      return () => target.start();
    }
    case "freezeTarget": {
      const { running } = getTarget(fleet, fault.target).faults;
      running.close();
      return endWith(() => running.open());
    }
    case "silenceTarget":
      getTarget(fleet, fault.target).silenceConnections();
      return endWith(() => undefined);
    case "slowTarget": {
      const { faults } = getTarget(fleet, fault.target);
      faults.slowFactor = fault.factor;
      return endWith(() => (faults.slowFactor = 1));
    }
    case "loseCommitAnswers":
      getTarget(fleet, fault.target).faults.loseCommitAnswers(fault.count, fault.how);
      return endWith(() => undefined);
    case "cutTarget":
      return cutLink(getLink(fleet, fault.target), fault.way);
    case "cutReplication": {
      const { replication } = getTarget(fleet, fault.target).faults;
      replication.close();
      return endWith(() => replication.open());
    }
    case "cutPeer":
      return cutLink(getMember(fleet, fault.vm).link, fault.way);
    case "forgetPeer":
      getMember(fleet, fault.vm).link.stallAll();
      return endWith(() => undefined);
    case "killProxy": {
      const member = getMember(fleet, fault.vm);
      await member.kill();
      return () => member.restart();
    }
    case "drainProxy":
      return startDrain(getMember(fleet, fault.vm));
    case "platformDown":
      platform.setDown(true);
      return endWith(() => platform.setDown(false));
    case "platformSlow":
      platform.faults.slowMs = fault.ms;
      return endWith(() => (platform.faults.slowMs = 0));
    case "loseStoreAnswers":
      platform.faults.loseWriteAnswers(fault.count);
      return endWith(() => undefined);
    case "dropWatches":
      platform.dropWatches();
      return endWith(() => undefined);
  }
}

/** Sets the replication lag of each target, in milliseconds. */
export function setLags(fleet: Fleet, lagMs: readonly number[]): void {
  for (const [i, target] of listTargets(fleet).entries()) target.setLag(lagMs[i] ?? 0);
}

/** Starts a drain, after which the proxy stops by itself. Ending the fault starts a new one in its place. */
function startDrain(member: FleetMember): EndFault {
  const { proxy } = member;
  const drained = proxy.drain();
  return async () => {
    await drained;
    // A proxy that was killed in the meantime is already replaced.
    if (member.proxy === proxy) await member.restart();
  };
}

function cutLink(link: FaultyLink, way: CutDirection): EndFault {
  link.setFlow(way === "back" ? "pass" : "hold", way === "there" ? "pass" : "hold");
  return endWith(() => {
    link.setFlow("pass", "pass");
  });
}

function endWith(end: () => unknown): EndFault {
  return () => {
    end();
    return Promise.resolve();
  };
}

function getTarget(fleet: Fleet, selector: TargetSelector): StandinTarget {
  const target =
    selector.type === "index"
      ? listTargets(fleet)[selector.index]
      : findPrimary(fleet.cluster.groups[selector.group]?.targets ?? []);
  if (target === undefined) throw new Error(`no target matches ${JSON.stringify(selector)}`);
  return target;
}

function getLink(fleet: Fleet, selector: TargetSelector): FaultyLink {
  const { name } = getTarget(fleet, selector);
  const link = fleet.targetLinks.get(name);
  if (link === undefined) throw new Error(`no link to target ${name}`);
  return link;
}

function getMember(fleet: Fleet, index: number): FleetMember {
  const member = fleet.members[index];
  if (member === undefined) throw new Error(`no member with index ${index}`);
  return member;
}
