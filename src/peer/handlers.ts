import type {
  ControlResult,
  GroupGateway,
  Json,
  PeerHello,
  ProbeResult,
  StoreRead,
  Vm,
} from "../model/index.js";

/** Which process serves a group, as far as this one knows. */
export type OwnerChoice =
  | { readonly type: "here"; readonly gateway: GroupGateway }
  /** `owner` is undefined when no VM is known to serve the group. */
  | { readonly type: "elsewhere"; readonly owner?: Vm };

/** The operations that a process performs for its peers. */
export interface PeerHandlers {
  getHello(): PeerHello;
  /** Called with the hello of each message that a peer sends. */
  onHello(hello: PeerHello): void;
  chooseOwner(group: string): OwnerChoice;
  /** Probes another VM on behalf of a peer. */
  probe(vm: Vm, timeoutMs: number): Promise<ProbeResult>;
  checkTarget(group: string, target: string, timeoutMs: number): Promise<ControlResult>;
  /** Returns the configuration in force if it is newer than `afterRevision`, else `absent`. */
  fetchConfiguration(afterRevision: number): Promise<StoreRead<Json>>;
  /** Returns the revision in force afterwards. Rejects when the value is not a configuration. */
  pushConfiguration(configuration: Json): Promise<number>;
  /** Returns this process's status for operators. */
  report(): Json;
}
