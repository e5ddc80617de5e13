import type { PeerHello, Vm, GossipItem } from "../../model/index.js";

/** The status that an observer assigns to another VM. */
export type MemberStatus = GossipItem["state"];

/** What one VM knows about another. */
export interface Member {
  readonly vm: Vm;
  readonly status: MemberStatus;
  /** Empty until the VM, or news about it, has been received. */
  readonly incarnation: string;
  /** When the status last changed or, after a pause, the suspicion restarted; observer's clock. */
  readonly statusSince: number;
  /** Its state in the platform's last list; absent when it was not listed. */
  readonly listedState?: Vm["state"];
}

/** A news item with the number of messages that it will still be sent in. */
export interface QueuedNews {
  readonly news: GossipItem;
  readonly sendsLeft: number;
}

/** The immutable membership state of one VM. */
export interface MembershipState {
  readonly self: {
    readonly vm: Vm;
    readonly incarnation: string;
    readonly state: PeerHello["state"];
  };
  readonly members: ReadonlyMap<string, Member>;
  /** The names of the VMs to probe in this round; rebuilt when `nextProbeIndex` reaches its end. */
  readonly probeOrder: readonly string[];
  readonly nextProbeIndex: number;
  readonly ticks: number;
  /** Increases at each detected pause. Results of probes from an earlier epoch are ignored. */
  readonly epoch: number;
  readonly lastEventAt: number;
  /** When a message from any other VM last arrived. */
  readonly lastContactAt: number;
  readonly isIsolated: boolean;
  /** News still to be sent (gossip), by VM name. */
  readonly news: ReadonlyMap<string, QueuedNews>;
}

/** An input of the membership state machine; `now` is on the observer's clock. */
export type MembershipEvent =
  | { readonly type: "tick"; readonly now: number }
  /** The platform's list of VMs was read. */
  | { readonly type: "listed"; readonly now: number; readonly vms: readonly Vm[] }
  /** A message or an answer from another VM arrived. */
  | { readonly type: "heard"; readonly now: number; readonly hello: PeerHello }
  /** A VM did not answer a probe that began in `epoch`. */
  | {
      readonly type: "silent";
      readonly now: number;
      readonly vm: string;
      readonly epoch: number;
      /** Whether other VMs were asked to probe it as well. */
      readonly isIndirect: boolean;
    }
  /** Some other call to the VM failed, so it is probed at once. */
  | { readonly type: "doubted"; readonly now: number; readonly vm: string }
  | { readonly type: "selfChanged"; readonly now: number; readonly state: PeerHello["state"] };

/** An action for the caller to carry out, or a change to report. */
export type MembershipEffect =
  | { readonly type: "probe"; readonly vm: Vm; readonly epoch: number }
  /** Asks the VMs in `via` to probe `vm`. */
  | {
      readonly type: "probeThrough";
      readonly vm: Vm;
      readonly via: readonly Vm[];
      readonly epoch: number;
    }
  | {
      readonly type: "changed";
      readonly vm: Vm;
      readonly status: MemberStatus | "removed";
    }
  /** This process was paused for about `forMs` milliseconds. */
  | { readonly type: "paused"; readonly forMs: number }
  /** Suspicions timed out, but no VM is reachable that could confirm them. */
  | { readonly type: "isolated" }
  /** This VM took a greater incarnation to refute a suspicion of itself. */
  | { readonly type: "refuted" };

/** Creates the state of a VM that knows no others yet. */
export function createMembershipState(vm: Vm, incarnation: string, now: number): MembershipState {
  return {
    self: { vm, incarnation, state: "starting" },
    members: new Map(),
    probeOrder: [],
    nextProbeIndex: 0,
    ticks: 0,
    epoch: 0,
    lastEventAt: now,
    lastContactAt: now,
    isIsolated: false,
    news: new Map(),
  };
}
