import type {
  ControlResult,
  GroupGateway,
  Json,
  PeerHello,
  ProbeResult,
  StoreRead,
  Vm,
} from "../model/index.js";

/** Who serves a group, as this process sees it. */
export type OwnerChoice =
  | { readonly type: "here"; readonly gateway: GroupGateway }
  /** Without a VM, nobody is known to. */
  | { readonly type: "elsewhere"; readonly owner?: Vm };

/** What a process does for its peers. */
export interface PeerHandlers {
  getHello(): PeerHello;
  /** Hears of every peer that says something. */
  onHello(hello: PeerHello): void;
  chooseOwner(group: string): OwnerChoice;
  probe(vm: Vm, timeoutMs: number): Promise<ProbeResult>;
  checkTarget(group: string, target: string, timeoutMs: number): Promise<ControlResult>;
  /** The configuration in force when it is newer than `afterRevision`. */
  fetchConfiguration(afterRevision: number): Promise<StoreRead<Json>>;
  /** Answers with the revision in force afterwards. Rejects what is no configuration. */
  pushConfiguration(configuration: Json): Promise<number>;
  /** This process's status for operators. */
  report(): Json;
}
