import type { Address } from "../../../src/model/index.js";
import type { Detours, RegionAddress } from "./region-network.js";
import type { SoakSite } from "./site.js";

/** A fault or a change that the process with the store and the targets carries out. Times are in milliseconds. */
export type BackendCommand =
  | { readonly type: "storeBusy"; readonly forMs: number }
  | { readonly type: "storeSlow"; readonly ms: number; readonly forMs: number }
  | { readonly type: "loseStoreAnswers"; readonly count: number }
  /** The store's links of these nodes stay open and pass nothing. */
  | { readonly type: "cutStore"; readonly nodes: readonly number[]; readonly forMs: number }
  /** The store resets the connections of these nodes and refuses new ones. */
  | { readonly type: "resetStore"; readonly nodes: readonly number[]; readonly forMs: number }
  | { readonly type: "crashPrimary"; readonly group: number; readonly forMs: number }
  | { readonly type: "silencePrimary"; readonly group: number; readonly forMs: number }
  | { readonly type: "losePrimaryAnswers"; readonly group: number; readonly forMs: number }
  /** The first replica of a group, or all, fall behind by `lagMs`; without it they receive nothing. */
  | {
      readonly type: "lagReplicas";
      readonly group: number;
      readonly isAll: boolean;
      readonly lagMs?: number;
      readonly forMs: number;
    }
  /** The links between two regions pass nothing, and no replica follows a primary over them. */
  | {
      readonly type: "cutRegions";
      readonly regions: readonly [string, string];
      readonly forMs: number;
    }
  | { readonly type: "changeConfiguration" };

/** The ids of the writes in the logs of all primaries, and of those that promotions rolled back. */
export interface StoredWrites {
  readonly kept: readonly string[];
  readonly rolledBack: readonly string[];
}

/** What the run sends to the process with the store and the targets. */
export type BackendRequest =
  | { readonly type: "start"; readonly site: SoakSite; readonly nodes: number }
  /** Asks for relays between the regions to these addresses and to those of the store and the targets. */
  | { readonly type: "openRelays"; readonly addresses: readonly RegionAddress[] }
  | { readonly type: "apply"; readonly command: BackendCommand }
  | { readonly type: "listWrites" };

/** What that process answers. `started` has one address of the store for each node, `relays` the detours by region. */
export type BackendAnswer =
  | { readonly type: "started"; readonly stores: readonly Address[] }
  | { readonly type: "relays"; readonly detours: Readonly<Record<string, Detours>> }
  | {
      readonly type: "writes";
      readonly writes: StoredWrites;
      readonly sentBytes: Readonly<Record<string, number>>;
    };
