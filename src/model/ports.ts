import type { Json } from "./json.js";
import type { Mark } from "./mark.js";
import type { Group, Target, Vm } from "./topology.js";
import type { Request } from "./request.js";
import type { ControlResult } from "./target.js";
import type { Term } from "./term.js";
import type { Verdict } from "./verdict.js";

/** Time as the core sees it. `now` never goes back; milliseconds from an arbitrary start. */
export interface Clock {
  now(): number;
  /** Resolves after `ms`, or rejects with the signal's reason. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** Randomness as the core sees it: a number of [0, 1). */
export interface Random {
  draw(): number;
}

/**
 * Control of one target: terms, fencing and positions. Every call resolves; a target that can't be
 * reached or does not answer within `timeoutMs` gives `unreachable`, and the request may have run.
 */
export interface TargetControl {
  /** With `after`, answers once the mark or the fence differs from it, or after `waitMs`. */
  getStatus(
    target: Target,
    options: {
      readonly timeoutMs: number;
      readonly after?: { readonly mark: Mark; readonly fencedAt: Term };
      readonly waitMs?: number;
      /** Opens a new connection, to tell a dead target from a silent connection. */
      readonly fresh?: boolean;
    },
  ): Promise<ControlResult>;
  /** From then on the target commits, copies and is promoted in no term older than `term`. */
  fence(target: Target, term: Term, timeoutMs: number): Promise<ControlResult>;
  /** Makes it primary in `term`; refused unless it stands fenced at exactly this term. */
  promote(target: Target, term: Term, timeoutMs: number): Promise<ControlResult>;
  /** Makes it a replica of `primary` in `term`, cutting off what the primary's log does not hold. */
  follow(target: Target, primary: Target, term: Term, timeoutMs: number): Promise<ControlResult>;
}

/** How one exchange with a target ended. */
export type ExchangeResult =
  /** `ReadyForQuery` came; its status byte: idle, in a transaction, in a failed transaction. */
  | { readonly type: "ready"; readonly status: "I" | "T" | "E" }
  /** The connection broke or was abandoned. `sent` tells whether a byte may have reached the target. */
  | { readonly type: "broken"; readonly sent: boolean; readonly reason: string };

/** Receives one whole message of the answer, type byte and length included. */
export type MessageSink = (message: Uint8Array) => void | Promise<void>;

/** One PostgreSQL connection to a target. One exchange at a time. */
export interface TargetSession {
  readonly target: string;
  /** False once it was closed, broken or abandoned: it then never carries another exchange. */
  readonly isUsable: boolean;
  /**
   * Sends whole frontend messages and hands on the answer up to `ReadyForQuery`, which is not handed
   * on. Aborting closes the connection, so that a late answer reaches nobody.
   */
  exchange(messages: Uint8Array, sink: MessageSink, signal: AbortSignal): Promise<ExchangeResult>;
  close(): void;
}

/** Opens PostgreSQL connections to targets. Rejects when none could be opened in time. */
export interface TargetConnector {
  open(target: Target, database: string, timeoutMs: number): Promise<TargetSession>;
}

/** An object in the platform's store. Versions of one object only grow. */
export interface StoredObject {
  readonly kind: string;
  readonly name: string;
  readonly version: number;
  readonly value: Json;
}

/** The outcome of a read. `unavailable` covers outages and answers that came too late. */
export type StoreRead<T> =
  | { readonly type: "found"; readonly value: T }
  | { readonly type: "absent" }
  | { readonly type: "unavailable"; readonly reason: string };

/** The outcome of a conditional update. After `unknown` it may have taken effect. */
export type StoreWrite =
  | { readonly type: "written"; readonly object: StoredObject }
  | { readonly type: "conflict" }
  | { readonly type: "unknown"; readonly reason: string }
  | { readonly type: "unavailable"; readonly reason: string };

/** A change seen by a watch. `broken` means that changes may have been missed: list again. */
export type StoreChange =
  | { readonly type: "changed"; readonly object: StoredObject }
  | { readonly type: "removed"; readonly kind: string; readonly name: string }
  | { readonly type: "broken"; readonly reason: string };

/** The platform's object API. No call rejects; none lasts longer than the client's timeout. */
export interface ObjectStore {
  get(kind: string, name: string): Promise<StoreRead<StoredObject>>;
  list(kind: string): Promise<StoreRead<readonly StoredObject[]>>;
  /** Writes only if the object still has `version`; 0 means that it must not exist. */
  put(kind: string, name: string, value: Json, version: number): Promise<StoreWrite>;
  remove(kind: string, name: string, version: number): Promise<StoreWrite>;
  /** Hands on changes of a kind after a listing's highest version, until aborted or `broken`. */
  watch(
    kind: string,
    afterVersion: number,
    handle: (change: StoreChange) => void,
    signal: AbortSignal,
  ): Promise<void>;
  /** The platform's list of VMs, which lags behind the truth. */
  listVms(): Promise<StoreRead<readonly Vm[]>>;
  /** The database groups that the platform runs. */
  listGroups(): Promise<StoreRead<readonly Group[]>>;
}

/** What one VM has heard of another, passed on with the next messages. */
export interface GossipItem {
  readonly vm: Vm;
  readonly incarnation: string;
  readonly state: "alive" | "suspect" | "leaving" | "down";
}

/** What a process says of itself to a peer; every peer message carries it. */
export interface PeerHello {
  readonly vm: string;
  /** Differs between two runs of the process on one VM. */
  readonly incarnation: string;
  readonly state: "starting" | "ready" | "leaving";
  /** The greatest configuration revision it has in force. */
  readonly revision: number;
  /** What it has heard of other VMs lately, itself first. */
  readonly news?: readonly GossipItem[];
}

/** What a peer answers to a probe on behalf of another. */
export type ProbeResult =
  | { readonly type: "answered"; readonly hello: PeerHello }
  | { readonly type: "silent"; readonly reason: string };

/** What a peer found of a target, or that the peer itself gave no answer and so no evidence. */
export type PeerCheck = ControlResult | { readonly type: "silent"; readonly reason: string };

/** Calls between proxies. No call rejects. */
export interface PeerClient {
  probe(vm: Vm, hello: PeerHello, timeoutMs: number): Promise<ProbeResult>;
  /** Asks `via` to probe `vm`. */
  probeThrough(via: Vm, vm: Vm, hello: PeerHello, timeoutMs: number): Promise<ProbeResult>;
  /** Asks `via` for a fresh status of a target, on a new connection. */
  checkTarget(via: Vm, group: string, target: string, timeoutMs: number): Promise<PeerCheck>;
  /** Fetches the peer's configuration when it is newer than `afterRevision`. */
  fetchConfiguration(vm: Vm, afterRevision: number, timeoutMs: number): Promise<StoreRead<Json>>;
  /** Pushes a configuration; answers with the revision then in force at the peer. */
  pushConfiguration(vm: Vm, configuration: Json, timeoutMs: number): Promise<StoreRead<number>>;
}

/** What came of one request, or of one batch of an interactive transaction. */
export type Outcome =
  | {
      readonly type: "answered";
      /** `T` and `E` keep the conversation on its connection; `I` ends the transaction. */
      readonly status: "I" | "T" | "E";
      /** What the session must see from now on; absent when nothing new is to be seen. */
      readonly mark?: Mark;
      readonly servedBy: { readonly target: string; readonly role: "primary" | "replica" };
    }
  | { readonly type: "failed"; readonly verdict: Verdict; readonly message: string };

/**
 * One caller's exchange with a group's owner: a single request, or a transaction that stays on one
 * connection from the first batch to the last.
 */
export interface Conversation {
  /**
   * Runs one batch of whole frontend messages, up to and with its `Sync` or `Query`. The answer
   * goes to `sink` without `ReadyForQuery`. Never rejects. One call at a time.
   */
  run(
    request: Request,
    messages: Uint8Array,
    sink: MessageSink,
    signal: AbortSignal,
  ): Promise<Outcome>;
  /** Ends it; an open transaction is rolled back by closing its connection. */
  close(): void;
}

/** Opens conversations with groups, at this process or at the owner's. */
export interface GroupGateway {
  open(group: string): Conversation;
}
