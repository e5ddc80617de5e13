import type { Disposable } from "../model/index.js";
import { DirectGroup } from "./group.js";
import type { DirectPorts } from "./ports.js";
import type { ReplicaDelay } from "./replica-positions.js";
import type { ServingConfig } from "./serving-config.js";

/** The use of one target's slots by this proxy. */
export interface GroupSlotUse {
  readonly group: string;
  readonly target: string;
  readonly running: number;
  readonly free: number;
  /** Transactions that hold a connection without a slot. */
  readonly idle: number;
}

/** The estimated replication delay of one replica. */
export interface GroupReplicaDelay extends ReplicaDelay {
  readonly group: string;
}

/** The groups that this proxy uses, updated from each new serving configuration. */
export class GroupDirectory implements Disposable {
  private readonly groups = new Map<string, DirectGroup>();

  constructor(private readonly ports: DirectPorts) {}

  find(name: string): DirectGroup | undefined {
    return this.groups.get(name);
  }

  /**
   * Applies a new configuration. In a group that is no longer listed running statements finish, but no new
   * ones are placed.
   */
  update(config: ServingConfig): void {
    for (const group of config.groups.values()) {
      const known = this.groups.get(group.name);
      if (known === undefined) this.groups.set(group.name, new DirectGroup(group, this.ports));
      else known.update(group);
    }
    for (const [name, group] of this.groups) {
      if (!config.groups.has(name)) group.update({ name, connections: 1, targets: [] });
    }
  }

  /** Applies changes of this proxy's share of the groups' targets. */
  refreshShares(): void {
    for (const group of this.groups.values()) group.refreshShares();
  }

  /** The use of the slots of all targets where slots are planned. */
  listSlots(): readonly GroupSlotUse[] {
    return [...this.groups.values()]
      .filter(({ isSlotPlanned }) => isSlotPlanned)
      .flatMap(({ name, slots }) =>
        slots.listUse().map(({ target, running, free, held }) => ({
          group: name,
          target,
          running,
          free,
          idle: held - slots.countResuming(target),
        })),
      );
  }

  /** The estimated replication delays of all replicas where slots are planned. */
  listReplicaDelays(): readonly GroupReplicaDelay[] {
    return [...this.groups.values()]
      .filter(({ isSlotPlanned }) => isSlotPlanned)
      .flatMap(({ name, positions }) =>
        positions.listDelays().map((delay) => ({ group: name, ...delay })),
      );
  }

  /** Discards all known log positions. Called when the process was suspended for an unknown time. */
  forgetMarks(): void {
    for (const group of this.groups.values()) group.forgetMarks();
  }

  async dispose(): Promise<void> {
    await Promise.all([...this.groups.values()].map((group) => group.dispose()));
    this.groups.clear();
  }
}
