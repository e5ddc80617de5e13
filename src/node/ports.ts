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

/** The leadership with the revision of the whole store, in one read. */
export interface StoreStatus {
  readonly leadership: VersionedLeadership | undefined;
  /** Grows with any change in the store: while it stays, nothing need be read again. */
  readonly revision: number;
}

/** The platform's store as a node uses it. No call rejects. */
export interface NodeStore extends PlatformFeed, Disposable {
  readStatus(): Promise<StoreRead<StoreStatus>>;
  readLeadership(): Promise<StoreRead<VersionedLeadership>>;
  writeLeadership(document: LeadershipDocument, version: number): Promise<StoreWrite>;
  listProxies(): Promise<StoreRead<readonly Proxy[]>>;
  /** Creates or replaces this proxy's entry. */
  register(proxy: Proxy): Promise<boolean>;
  /** Removes this proxy's entry; false when that is not known to be done. */
  deregister(proxy: Proxy): Promise<boolean>;
  /** Marks the entry as that of a proxy that was missed, if it still is at this address. */
  markMissed(proxy: Proxy): Promise<void>;
  /** Removes the entry if it is the same as when it was read; the next look tells whether. */
  removeMissed(proxy: Proxy): Promise<void>;
  /** Reaches the store elsewhere from now on. */
  setAddress(address: NodeSettings["store"]): void;
}

/** What an adapter brings to a node. */
export interface NodeAdapter {
  readonly store: NodeStore;
  readonly callerCodec: CallerCodec;
  readonly maxLineBytes: number;
  readonly dialer: TargetDialer;
  readonly promote: Promoter;
  readonly parseReport: (reply: Reply) => TargetReport | undefined;
}
