import type { Address } from "../../../src/model/index.js";
import type { LoopDelays } from "./loop-delays.js";
import type { Detours, RegionAddress } from "./region-network.js";
import type { SoakSite } from "./site.js";

/** Replicas of a group that fall behind by `lagMs`, or receive nothing without it. */
export interface LagCommand {
  readonly group: number;
  /** Whether all replicas are affected, or only the first. */
  readonly isAll: boolean;
  readonly lagMs?: number;
  readonly forMs: number;
}

/** A fault or a change that the process with the store and the targets carries out. Times are in milliseconds. */
export type BackendCommand =
  | { readonly type: "storeBusy"; readonly forMs: number }
  | { readonly type: "storeSlow"; readonly ms: number; readonly forMs: number }
  | { readonly type: "loseStoreAnswers"; readonly count: number }
  /** A share of the writes is not answered, and takes effect within `maxDelayMs`. */
  | {
      readonly type: "loseStoreWrites";
      readonly share: number;
      readonly maxDelayMs: number;
      readonly forMs: number;
    }
  /** The store answers every request of these nodes with a status. */
  | {
      readonly type: "refuseNodes";
      readonly nodes: readonly number[];
      readonly status: number;
      readonly forMs: number;
    }
  /** The store's links of these nodes stay open and pass nothing. */
  | { readonly type: "cutStore"; readonly nodes: readonly number[]; readonly forMs: number }
  /** The store resets the connections of these nodes and refuses new ones. */
  | { readonly type: "resetStore"; readonly nodes: readonly number[]; readonly forMs: number }
  | {
      readonly type:
        | "crashPrimary"
        | "silencePrimary"
        | "darkenPrimary"
        | "losePrimaryAnswers"
        | "cutPrimaryFromReplicas"
        | "cutPrimaryFromStore"
        /** The primary comes back from a cut when all others have just crashed. */
        | "isolatePrimary"
        /** One replica receives nothing, and all others crash. */
        | "crashAllButDeaf";
      readonly group: number;
      readonly forMs: number;
    }
  | ({ readonly type: "lagReplicas" } & LagCommand)
  | {
      readonly type: "slowTargets";
      readonly group: number;
      readonly factor: number;
      readonly forMs: number;
    }
  /** New targets take the places of the primary, or of all targets one after the other. */
  | {
      readonly type: "replaceTargets";
      readonly group: number;
      readonly isPrimaryOnly: boolean;
      readonly gapMs: number;
      /** How long a target still serves after its drain timeout. */
      readonly lingerMs: number;
    }
  /** Another writer leaves objects in the store that can't be used, the configuration among them. */
  | { readonly type: "writeOddObjects"; readonly forMs: number }
  /** Targets go on counting the connections that are closed in the next moment. */
  | { readonly type: "lingerConnections"; readonly forMs: number }
  /** The links between two regions pass nothing, and no replica follows a primary over them. */
  | {
      readonly type: "cutRegions";
      readonly regions: readonly [string, string];
      readonly forMs: number;
    }
  /** Writes one configuration, or several with pauses, the first of them with more routes. */
  | {
      readonly type: "changeConfiguration";
      readonly count?: number;
      readonly gapMs?: number;
      readonly addedRoutes?: number;
    };

/** A target with the port at which nodes reach it. */
export interface ListedTarget {
  readonly group: number;
  readonly port: number;
  readonly isPrimary: boolean;
}

/** The ids of the writes in the logs of all primaries, and of those that promotions rolled back. */
export interface StoredWrites {
  readonly kept: readonly string[];
  readonly rolledBack: readonly string[];
  /** Those that a superseded primary committed. */
  readonly superseded: readonly SupersededWrite[];
}

/** A write that a primary committed after another one had been promoted. */
export interface SupersededWrite {
  readonly id: string;
  readonly member: string;
  /** In milliseconds since the epoch. */
  readonly at: number;
}

/** A statement that reached a target later than its drain timeout after the store accepted that it leaves. */
export interface LateArrival {
  readonly statement: string;
  readonly target: string;
  /** In milliseconds since the epoch. */
  readonly at: number;
  /** The time since the store accepted the report, in milliseconds. */
  readonly sinceMs: number;
  /** Whether the store was in touch when it accepted the report, and when the statement arrived. */
  readonly isStoreStable: boolean;
}

/** What the run sends to the process with the store and the targets. */
export type BackendRequest =
  | { readonly type: "start"; readonly site: SoakSite; readonly nodes: number }
  /** Asks for relays between the regions to these addresses and to those of the store and the targets. */
  | { readonly type: "openRelays"; readonly addresses: readonly RegionAddress[] }
  | { readonly type: "apply"; readonly command: BackendCommand }
  | { readonly type: "describe" }
  | { readonly type: "listWrites" };

/** What that process answers. `started` has one address of the store for each node, `relays` the detours by region. */
export type BackendAnswer =
  | { readonly type: "started"; readonly stores: readonly Address[] }
  /** The targets, the node whose conditional write was the last that took effect, and who holds the lease. */
  | {
      readonly type: "described";
      readonly targets: readonly ListedTarget[];
      readonly lastWriter: number | undefined;
      readonly leaseHolder: string | undefined;
    }
  | { readonly type: "relays"; readonly detours: Readonly<Record<string, Detours>> }
  | {
      readonly type: "writes";
      readonly writes: StoredWrites;
      readonly lateArrivals: readonly LateArrival[];
      readonly sentBytes: Readonly<Record<string, number>>;
      readonly delays: LoopDelays;
    };
