import type { PeerHello, Vm, GossipItem } from "../../model/index.js";

/** What an observer holds of another VM. */
export type MemberStatus = GossipItem["state"];

/** One other VM as this one sees it. */
export interface Member {
  readonly vm: Vm;
  readonly status: MemberStatus;
  /** Empty until it was heard from. */
  readonly incarnation: string;
  /** When the status last changed, on the observer's clock. */
  readonly since: number;
  /** The platform's word in the last listing; absent when it was not listed. */
  readonly listed?: Vm["state"];
}

/** News with the number of messages that still carry it. */
export interface QueuedNews {
  readonly news: GossipItem;
  readonly left: number;
}

/** What one VM knows of the others. */
export interface MembershipState {
  readonly self: {
    readonly vm: Vm;
    readonly incarnation: string;
    readonly state: PeerHello["state"];
  };
  readonly members: ReadonlyMap<string, Member>;
  /** The round of those that this VM probes, gone through from `at` on and then built anew. */
  readonly ring: readonly string[];
  readonly at: number;
  readonly ticks: number;
  /** Grows when this process stood still: results of probes begun before count for nothing. */
  readonly epoch: number;
  readonly lastEventAt: number;
  /** When any other VM was last heard from. */
  readonly lastContactAt: number;
  readonly isIsolated: boolean;
  readonly news: ReadonlyMap<string, QueuedNews>;
}

/** What happens; `now` is on the observer's clock. */
export type MembershipEvent =
  | { readonly type: "tick"; readonly now: number }
  | { readonly type: "listed"; readonly now: number; readonly vms: readonly Vm[] }
  /** A message or an answer of another VM. */
  | { readonly type: "heard"; readonly now: number; readonly hello: PeerHello }
  | {
      readonly type: "silent";
      readonly now: number;
      readonly vm: string;
      readonly epoch: number;
      /** Whether helpers were asked as well. */
      readonly indirect: boolean;
    }
  /** Something failed towards a VM: it is probed at once. */
  | { readonly type: "doubted"; readonly now: number; readonly vm: string }
  | { readonly type: "selfChanged"; readonly now: number; readonly state: PeerHello["state"] };

/** What is to be done outside. */
export type MembershipEffect =
  | { readonly type: "probe"; readonly vm: Vm; readonly epoch: number }
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
  | { readonly type: "paused"; readonly forMs: number }
  | { readonly type: "isolated" }
  | { readonly type: "refuted" };

/** Creates the state of a VM that knows nobody yet. */
export function createMembershipState(vm: Vm, incarnation: string, now: number): MembershipState {
  return {
    self: { vm, incarnation, state: "starting" },
    members: new Map(),
    ring: [],
    at: 0,
    ticks: 0,
    epoch: 0,
    lastEventAt: now,
    lastContactAt: now,
    isIsolated: false,
    news: new Map(),
  };
}
