import type { Conversation, GroupGateway, Vm } from "../model/index.js";
import type { OwnerGateway } from "../owner/index.js";
import { orderOwners } from "../policy/index.js";

/** What a `FleetGateway` chooses between. */
export interface FleetGatewayOptions {
  readonly vm: string;
  readonly listLive: () => readonly Vm[];
  readonly owner: OwnerGateway;
  readonly remote: GroupGateway;
}

/** Opens conversations at a group's owner, which is this process or another. */
export class FleetGateway implements GroupGateway {
  constructor(private readonly options: FleetGatewayOptions) {}

  open(group: string): Conversation {
    const { owner, remote } = this.options;
    return this.findOther(group) === undefined ? owner.open(group) : remote.open(group);
  }

  /** The VM that owns the group when that is another one; nothing when this process serves it. */
  findOther(group: string): Vm | undefined {
    const { vm, listLive, owner } = this.options;
    const [first, second] = orderOwners(group, listLive());
    if (first?.name !== vm) return first;
    // Cut off from the group's primary, this process can serve nothing; the next VM may reach it.
    return owner.find(group)?.watch.isCutOff === true ? second : undefined;
  }

  /** Whether this process owns the group by the live VMs, cut off or not. */
  isOwned(group: string): boolean {
    const { vm, listLive } = this.options;
    return orderOwners(group, listLive())[0]?.name === vm;
  }
}
