import type { Json } from "./json.js";
import type { Mark } from "./mark.js";
import type { Group, Target, Vm } from "./topology.js";
import type { Request } from "./request.js";
import type { ControlResult } from "./target.js";
import type { Term } from "./term.js";
import type { Verdict } from "./verdict.js";

/** A monotonic clock, in milliseconds from an arbitrary start. Simulations supply their own. */
export interface Clock {
  now(): number;
  /** Resolves after `ms`, or rejects with the signal's reason. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** A source of random numbers in [0, 1). Simulations supply a seeded one. */
export interface Random {
  draw(): number;
}

/**
 * Administers targets: reads their status, fences them against older terms and assigns their roles.
 * No call rejects. For a target that can't be reached or doesn't answer within `timeoutMs` the result
 * is `unreachable`; the request may have been executed all the same.
 */
export interface TargetControl {
  /**
   * Reads a target's status. With `after`, the target answers once its mark or its fence differs from
   * that, or after `waitMs` (long polling).
   */
  getStatus(
    target: Target,
    options: {
      readonly timeoutMs: number;
      readonly after?: { readonly mark: Mark; readonly fencedAt: Term };
      readonly waitMs?: number;
      /** Uses a new connection, which tells a dead target from a dead connection. */
      readonly fresh?: boolean;
    },
  ): Promise<ControlResult>;
  /**
   * Fences the target at `term`: from then on it neither commits, replicates nor becomes primary in
   * an older term.
   */
  fence(target: Target, term: Term, timeoutMs: number): Promise<ControlResult>;
  /** Makes the target primary in `term`; refused unless it is fenced at exactly this term. */
  promote(target: Target, term: Term, timeoutMs: number): Promise<ControlResult>;
  /**
   * Makes the target a replica of `primary` in `term`. The target discards the records of its log that
   * the primary's log does not hold.
   */
  follow(target: Target, primary: Target, term: Term, timeoutMs: number): Promise<ControlResult>;
}

/** The result of one exchange of messages with a target. */
export type ExchangeResult =
  /**
   * `ReadyForQuery` was received, with its transaction status: idle, in a transaction or in a failed
   * transaction.
   */
  | { readonly type: "ready"; readonly status: "I" | "T" | "E" }
  /** The connection broke or was abandoned. `sent`: a byte may have reached the target. */
  | { readonly type: "broken"; readonly sent: boolean; readonly reason: string };

/** Receives one complete message of an answer, with its type byte and length. */
export type MessageSink = (message: Uint8Array) => void | Promise<void>;

/** A PostgreSQL connection to a target. It carries one exchange at a time. */
export interface TargetSession {
  readonly target: string;
  /** False for good once the connection was closed, broken or abandoned. */
  readonly isUsable: boolean;
  /**
   * Sends complete frontend messages and passes the answer to `sink`, up to but without
   * `ReadyForQuery`. Aborting closes the connection, so that a late answer can't be taken for that of
   * a later exchange.
   */
  exchange(messages: Uint8Array, sink: MessageSink, signal: AbortSignal): Promise<ExchangeResult>;
  close(): void;
}

/** Opens PostgreSQL connections to targets. `open` rejects when it fails or exceeds `timeoutMs`. */
export interface TargetConnector {
  open(target: Target, database: string, timeoutMs: number): Promise<TargetSession>;
}

/** An object in the platform's store. The version of an object only increases. */
export interface StoredObject {
  readonly kind: string;
  readonly name: string;
  readonly version: number;
  readonly value: Json;
}

/** The result of a read. `unavailable`: the store failed or gave no usable answer in time. */
export type StoreRead<T> =
  | { readonly type: "found"; readonly value: T }
  | { readonly type: "absent" }
  | { readonly type: "unavailable"; readonly reason: string };

/**
 * The result of a conditional write. `conflict`: the object has another version. `unknown`: the write
 * may have taken effect. `unavailable`: it has not.
 */
export type StoreWrite =
  | { readonly type: "written"; readonly object: StoredObject }
  | { readonly type: "conflict" }
  | { readonly type: "unknown"; readonly reason: string }
  | { readonly type: "unavailable"; readonly reason: string };

/** An event of a watch. After `broken`, changes may have been missed and the kind must be listed again. */
export type StoreChange =
  | { readonly type: "changed"; readonly object: StoredObject }
  | { readonly type: "removed"; readonly kind: string; readonly name: string }
  | { readonly type: "broken"; readonly reason: string };

/** A client of the platform's object store. No call rejects or outlasts the client's timeout. */
export interface ObjectStore {
  get(kind: string, name: string): Promise<StoreRead<StoredObject>>;
  list(kind: string): Promise<StoreRead<readonly StoredObject[]>>;
  /** Writes only if the object's version is `version`; 0 means that the object must not exist. */
  put(kind: string, name: string, value: Json, version: number): Promise<StoreWrite>;
  remove(kind: string, name: string, version: number): Promise<StoreWrite>;
  /**
   * Passes each change of a kind with a version above `afterVersion`, the highest of a listing, to
   * `handle`. Resolves once aborted or after `broken`.
   */
  watch(
    kind: string,
    afterVersion: number,
    handle: (change: StoreChange) => void,
    signal: AbortSignal,
  ): Promise<void>;
  /** Lists the VMs that the platform knows of. The list is updated with a delay. */
  listVms(): Promise<StoreRead<readonly Vm[]>>;
  /** Lists the platform's database groups. */
  listGroups(): Promise<StoreRead<readonly Group[]>>;
}

/** What one VM knows of another's state; it is spread by gossip in messages between peers. */
export interface GossipItem {
  readonly vm: Vm;
  readonly incarnation: string;
  readonly state: "alive" | "suspect" | "leaving" | "down";
}

/** The state of the sending process, part of every message between peers. */
export interface PeerHello {
  readonly vm: string;
  /** Differs between two runs of the process on the same VM. */
  readonly incarnation: string;
  readonly state: "starting" | "ready" | "leaving";
  /** The configuration revision in force at the sender. */
  readonly revision: number;
  /** Recent gossip about VMs, with the sender itself first. */
  readonly news?: readonly GossipItem[];
}

/** The result of a probe, direct or through another peer. */
export type ProbeResult =
  | { readonly type: "answered"; readonly hello: PeerHello }
  | { readonly type: "silent"; readonly reason: string };

/**
 * The result of a target's check through a peer. `silent`: the peer itself did not answer, which says
 * nothing about the target.
 */
export type PeerCheck = ControlResult | { readonly type: "silent"; readonly reason: string };

/** Calls other proxies. No call rejects. */
export interface PeerClient {
  probe(vm: Vm, hello: PeerHello, timeoutMs: number): Promise<ProbeResult>;
  /** Asks `via` to probe `vm`. */
  probeThrough(via: Vm, vm: Vm, hello: PeerHello, timeoutMs: number): Promise<ProbeResult>;
  /** Asks `via` to read a target's status on a new connection. */
  checkTarget(via: Vm, group: string, target: string, timeoutMs: number): Promise<PeerCheck>;
  /** Fetches a peer's configuration if its revision is greater than `afterRevision`. */
  fetchConfiguration(vm: Vm, afterRevision: number, timeoutMs: number): Promise<StoreRead<Json>>;
  /** Sends a configuration; the result is the revision in force at the peer afterwards. */
  pushConfiguration(vm: Vm, configuration: Json, timeoutMs: number): Promise<StoreRead<number>>;
}

/** The result of one request, or of one batch of an interactive transaction. */
export type Outcome =
  | {
      readonly type: "answered";
      /** The transaction status. With `T` and `E` the conversation keeps its connection to the target. */
      readonly status: "I" | "T" | "E";
      /** What later reads of the session must see; absent when that has not changed. */
      readonly mark?: Mark;
      readonly servedBy: { readonly target: string; readonly role: "primary" | "replica" };
    }
  | { readonly type: "failed"; readonly verdict: Verdict; readonly message: string };

/**
 * A caller's exchange with a group's owner: a single request, or an interactive transaction whose
 * batches all run on one connection to a target.
 */
export interface Conversation {
  /**
   * Runs one batch of complete frontend messages that ends with `Sync` or `Query`. The answer is
   * passed to `sink` without `ReadyForQuery`. Never rejects. Must not be called while another call is
   * pending.
   */
  run(
    request: Request,
    messages: Uint8Array,
    sink: MessageSink,
    signal: AbortSignal,
  ): Promise<Outcome>;
  /** Ends the conversation. An open transaction is rolled back by closing its connection. */
  close(): void;
}

/** Opens conversations with groups, whether this process or another owns the group. */
export interface GroupGateway {
  open(group: string): Conversation;
}
