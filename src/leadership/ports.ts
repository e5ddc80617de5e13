import type { Logger } from "../log/index.js";
import type { Address, Clock, Random, StoreRead, StoreWrite } from "../model/index.js";
import type { TargetReport } from "../statement/index.js";
import type { AnnouncedTarget } from "../direct/index.js";
import type { LeadershipDocument, VersionedLeadership } from "./document.js";

/** A proxy that takes part, as it registered itself. */
export interface Proxy {
  readonly vm: string;
  readonly address: Address;
  /** Where it runs; absent where its entry does not say. */
  readonly dataCentre?: string;
  /** Where it takes statements of other nodes; absent where it does not. */
  readonly gateway?: Address;
  /** The processor that it may use, in cores; absent where its entry does not say. */
  readonly power?: number;
  /** Set by a change of primary that it did not answer, until it says that it lives. */
  readonly isMissed?: boolean;
  /** Of its entry in the store; changes with each mark and each sign of life. */
  readonly version?: number;
}

/** A primary that a change has made, before the store has the document that says so. */
export interface PromotedPrimary {
  readonly group: string;
  readonly round: number;
  readonly target: string;
}

/** What one proxy tells another of the leadership. */
export interface LeadershipUpdate {
  readonly leadership: VersionedLeadership;
  readonly promoted: readonly PromotedPrimary[];
}

/** What a proxy answered. Ages are in milliseconds, as of its answer. */
export interface LeadershipAnswer extends LeadershipUpdate {
  readonly vm: string;
  /** Whether it lists the asking proxy, and as one that nobody has missed. */
  readonly listsAsker: boolean;
  /** Of its own confirmation, by the store or by a majority. */
  readonly confirmedAgoMs: number | undefined;
  /** Of the question that the store answered last, to it or to one that told it so. */
  readonly storeAgoMs: number | undefined;
  /** The store's revision of which it has taken in everything. */
  readonly storeRevision: number | undefined;
  /** Of the question whose answer showed that revision to be current. */
  readonly lookedAgoMs: number | undefined;
}

/** Calls to other proxies. `undefined` means that no answer came in time. */
export interface LeadershipPeers {
  share(
    proxy: Proxy,
    word: LeadershipUpdate,
    timeoutMs: number,
  ): Promise<LeadershipAnswer | undefined>;
  /** With `demoteRound`, demotes the target unless it leads that term. */
  askTarget(
    proxy: Proxy,
    question: TargetQuestion,
    timeoutMs: number,
  ): Promise<TargetAnswer | undefined>;
}

/** What is asked of a target. */
export interface TargetQuestion {
  readonly group: string;
  readonly target: string;
  readonly demoteRound: number | undefined;
}

/** What a target said to a question. */
export type TargetAnswer =
  | { readonly type: "report"; readonly report: TargetReport }
  /** It runs: it had no slot free to say more, or has answered statements meanwhile. */
  | { readonly type: "alive" }
  | { readonly type: "silent" };

/** Asks a target over a connection of its own. */
export type TargetAsker = (question: TargetQuestion, timeoutMs: number) => Promise<TargetAnswer>;

/** The leadership in the platform's store. */
export interface LeadershipStore {
  read(): Promise<StoreRead<VersionedLeadership>>;
  write(document: LeadershipDocument, version: number): Promise<StoreWrite>;
}

/** What the platform said to the order to promote a target. */
export type PromoteResult =
  | { readonly type: "accepted" }
  /** The target does not run, or the order is stale. */
  | { readonly type: "refused"; readonly reason: string }
  /** It may have been carried out. */
  | { readonly type: "unknown"; readonly reason: string };

/** The order to the platform that a target leads its group; only the duty's holder gives it. */
export interface PromoteOrder {
  readonly group: string;
  readonly target: string;
  readonly holder: string;
  /** Grows whenever the holder changes. */
  readonly token: number;
}

/** Gives the order to promote. Never rejects. */
export type Promoter = (order: PromoteOrder, timeoutMs: number) => Promise<PromoteResult>;

/** What the leadership needs of the world. */
export interface LeadershipPorts {
  readonly vm: string;
  readonly incarnation: string;
  readonly store: LeadershipStore;
  readonly peers: LeadershipPeers;
  readonly askTarget: TargetAsker;
  readonly promote: Promoter;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** All proxies that are registered, this one included. */
  readonly listProxies: () => readonly Proxy[];
  /** Lists them anew; false when the store does not say. */
  readonly refreshProxies: () => Promise<boolean>;
  /** Writes down that a proxy did not answer, unless its entry has changed. */
  readonly markMissed: (proxy: Proxy) => Promise<void>;
  /** The registered proxies that hold a group's connections, which reach its targets or don't. */
  readonly listGroupProxies: (group: string) => readonly Proxy[];
  readonly listTargets: (group: string) => readonly AnnouncedTarget[];
  /** The groups whose primaries this proxy looks after: those whose connections it holds. */
  readonly listGroups: () => readonly string[];
}
