import type { CallerCodec, TargetDialer } from "../direct/index.js";
import type { PlatformFeed } from "../feed/index.js";
import type {
  LeadershipDocument,
  Promoter,
  Proxy,
  VersionedLeadership,
} from "../leadership/index.js";
import type { Disposable, StoreRead, StoreWrite } from "../model/index.js";
import type { Reply, TargetReport } from "../statement/index.js";
import type { NodeSettings } from "./settings.js";

/** The leadership document and the revision of the whole store, from one read. */
export interface StoreStatus {
  readonly leadership: VersionedLeadership | undefined;
  /** Increases with every change in the store; while it is the same, nothing has to be read again. */
  readonly revision: number;
}

/** The operations of the platform's store that a node uses. No call rejects. */
export interface NodeStore extends PlatformFeed, Disposable {
  readStatus(): Promise<StoreRead<StoreStatus>>;
  readLeadership(): Promise<StoreRead<VersionedLeadership>>;
  writeLeadership(document: LeadershipDocument, version: number): Promise<StoreWrite>;
  listProxies(): Promise<StoreRead<readonly Proxy[]>>;
  /** Creates or replaces this proxy's entry; false when it is unknown whether that succeeded. */
  register(proxy: Proxy): Promise<boolean>;
  /** Removes this proxy's entry; false when it is unknown whether that succeeded. */
  deregister(proxy: Proxy): Promise<boolean>;
  /** Marks the entry of a proxy that did not answer, if the entry still has this address. */
  markMissed(proxy: Proxy): Promise<void>;
  /** Removes the entry unless it has changed since it was read; the next listing shows the result. */
  removeMissed(proxy: Proxy): Promise<void>;
  /** Changes the address for all later calls. */
  setAddress(address: NodeSettings["store"]): void;
}

/** The client of the platform's API for promotions. Disposing it withdraws orders that have not arrived yet. */
export interface PromotionClient extends Disposable {
  readonly promote: Promoter;
}

/** What a platform's adapter supplies to a node. */
export interface NodeAdapter {
  readonly store: NodeStore;
  readonly callerCodec: CallerCodec;
  readonly maxLineBytes: number;
  readonly dialer: TargetDialer;
  readonly promotions: PromotionClient;
  /** Reads a target's answer to a status or demote command; undefined when it is malformed. */
  readonly parseReport: (reply: Reply) => TargetReport | undefined;
}
