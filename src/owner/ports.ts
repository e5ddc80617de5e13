import type { Logger } from "../log/index.js";
import type {
  Clock,
  PeerClient,
  Random,
  TargetConnector,
  TargetControl,
  Vm,
} from "../model/index.js";
import type { OwnerHooks } from "./hooks.js";

/** The dependencies of a groups' owner. `vm` is the name of this process's VM. */
export interface OwnerPorts {
  readonly vm: string;
  readonly connector: TargetConnector;
  readonly control: TargetControl;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly hooks: OwnerHooks;
  /** Lists other live VMs that can check a target, in order of preference. */
  readonly listCheckerVms: () => readonly Vm[];
}
