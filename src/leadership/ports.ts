import type { Logger } from "../log/index.js";
import type { Address, Clock, Random, StoreRead, StoreWrite } from "../model/index.js";
import type { TargetReport } from "../statement/index.js";
import type { AnnouncedTarget } from "../direct/index.js";
import type { RecordedTargets } from "../feed/index.js";
import type { Topology } from "../topology/index.js";
import type { LeadershipDocument, VersionedLeadership } from "./document.js";

/** A registered proxy, as described by its entry in the store. */
export interface Proxy {
  readonly vm: string;
  readonly address: Address;
  /** Absent if the entry does not name a data centre. */
  readonly dataCentre?: string;
  /** The address at which it accepts statements forwarded by other nodes; absent if it accepts none. */
  readonly gateway?: Address;
  /** The CPU share that it may use, in cores; absent if the entry does not say. */
  readonly power?: number;
  /** The bandwidth of its link, in Mbit/s; absent if the entry does not say. */
  readonly linkMbps?: number;
  /** The file descriptors that it may use; absent if the entry does not say. */
  readonly descriptors?: number;
  /** Set by a change of primary that it did not answer; cleared when it updates its own entry. */
  readonly isMissed?: boolean;
  /** The version of its entry in the store; changes whenever the entry is marked as missed or updated. */
  readonly version?: number;
}

/** A target that a change has promoted, before the stored document records it. */
export interface PromotedPrimary {
  readonly group: string;
  readonly round: number;
  readonly target: string;
}

/** The leadership state that proxies exchange. */
export interface LeadershipUpdate {
  readonly leadership: VersionedLeadership;
  readonly promoted: readonly PromotedPrimary[];
}

/** A proxy's answer to an update. Ages are in milliseconds, measured when it answered. */
export interface LeadershipAnswer extends LeadershipUpdate {
  readonly vm: string;
  /** Whether its list contains the asking proxy, not marked as missed. */
  readonly listsAsker: boolean;
  /** Age of the last confirmation of its leadership state, by the store or by a majority of proxies. */
  readonly confirmedAgoMs: number | undefined;
  /** Age of the last request known to have been answered by the store, its own or another proxy's. */
  readonly storeAgoMs: number | undefined;
  /** The store revision whose content it has read completely. */
  readonly storeRevision: number | undefined;
  /** Age of the request whose answer showed that this revision is current. */
  readonly lookedAgoMs: number | undefined;
}

/** The outcome of a call to another proxy. */
export type PeerResult<T> =
  | { readonly type: "answered"; readonly answer: T }
  /**
   * No answer arrived in time, or the connection was refused or reset. The proxy may run and use primaries: a partition
   * may refuse and reset connections in the name of a machine that it cuts off.
   */
  | { readonly type: "silent" };

/** The answer of a call, or `undefined` if there was none, for callers to which the reason makes no difference. */
export function findAnswer<T>(result: PeerResult<T>): T | undefined {
  return result.type === "answered" ? result.answer : undefined;
}

/** Calls to other proxies. They end within their timeout and never reject. */
export interface LeadershipPeers {
  share(
    proxy: Proxy,
    update: LeadershipUpdate,
    timeoutMs: number,
  ): Promise<PeerResult<LeadershipAnswer>>;
  /** If `demoteRound` is set, also demotes the target, unless it is the primary of that round. */
  askTarget(
    proxy: Proxy,
    question: TargetQuestion,
    timeoutMs: number,
  ): Promise<PeerResult<TargetAnswer>>;
}

/** A status request to a target, with an optional demotion. */
export interface TargetQuestion {
  readonly group: string;
  readonly target: string;
  readonly demoteRound: number | undefined;
}

/** The result of a status request to a target. */
export type TargetAnswer =
  | { readonly type: "report"; readonly report: TargetReport }
  /** It runs, but sent no report: all its slots were in use, or it answered other statements meanwhile. */
  | { readonly type: "alive" }
  | { readonly type: "silent" };

/** Sends a status request to a target over a new connection. */
export type TargetAsker = (question: TargetQuestion, timeoutMs: number) => Promise<TargetAnswer>;

/** Access to the leadership document in the platform's store. */
export interface LeadershipStore {
  read(): Promise<StoreRead<VersionedLeadership>>;
  write(document: LeadershipDocument, version: number): Promise<StoreWrite>;
}

/** The platform's answer to a promotion order. */
export type PromoteResult =
  | { readonly type: "accepted" }
  /** The target does not run, or the order's fencing token is outdated. */
  | { readonly type: "refused"; readonly reason: string }
  /** The order may or may not have been executed. */
  | { readonly type: "unknown"; readonly reason: string };

/** An order to the platform to make a target the primary of its group. Only the lease holder sends it. */
export interface PromoteOrder {
  readonly group: string;
  readonly target: string;
  readonly holder: string;
  /** The fencing token; increases whenever the lease changes hands. */
  readonly token: number;
}

/**
 * Sends a promotion order. Never rejects. `canSend` is asked right before the first byte is sent. An order without an
 * answer after `timeoutMs` is withdrawn: it is not carried out any more unless it has reached the platform by then.
 */
export type Promoter = (
  order: PromoteOrder,
  timeoutMs: number,
  canSend: () => boolean,
) => Promise<PromoteResult>;

/** The recorded targets of the groups, kept in the platform's store. Calls never reject. */
export interface TargetRecords {
  /** Reads a group's record; `undefined` if the store does not answer. A group without a record has no targets. */
  read(group: string): Promise<RecordedTargets | undefined>;
  /** Removes former targets from a group's record, unless it changes meanwhile. */
  forget(group: string, targets: readonly string[]): Promise<void>;
}

/** Dependencies of the leadership code. */
export interface LeadershipPorts {
  readonly vm: string;
  readonly topology: Topology;
  readonly incarnation: string;
  readonly store: LeadershipStore;
  readonly peers: LeadershipPeers;
  readonly askTarget: TargetAsker;
  readonly promote: Promoter;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** All registered proxies, including this one. */
  readonly listProxies: () => readonly Proxy[];
  /** Reads the list of proxies again; resolves to false if the store does not answer. */
  readonly refreshProxies: () => Promise<boolean>;
  /** Marks a proxy's entry as missed, unless the entry has changed since it was read. */
  readonly markMissed: (proxy: Proxy) => Promise<void>;
  /** The registered proxies that hold a group's connections and so can tell whether its targets are reachable. */
  readonly listGroupProxies: (group: string) => readonly Proxy[];
  readonly listTargets: (group: string) => readonly AnnouncedTarget[];
  readonly records: TargetRecords;
  /** Whether a group's primary acknowledges a commit only once a replica has received it. */
  readonly isSynchronous: (group: string) => boolean;
  /** The groups whose primaries this proxy monitors: those whose connections it holds. */
  readonly listGroups: () => readonly string[];
}
