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

/** What an owner needs of the world. */
export interface OwnerPorts {
  readonly vm: string;
  readonly connector: TargetConnector;
  readonly control: TargetControl;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly hooks: OwnerHooks;
  /** Other live VMs, the best first. */
  readonly listCheckerVms: () => readonly Vm[];
}
