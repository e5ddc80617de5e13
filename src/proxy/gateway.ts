import { OwnerTable } from "../fleet/index.js";
import type { Clock, Conversation, GroupGateway, Vm } from "../model/index.js";
import type { OwnerGateway } from "../owner/index.js";
import { orderOwners } from "../policy/index.js";

/** How long other VMs are preferred to one that could not be reached. */
const avoidUnreachableMs = 3000;

/** Dependencies of a `FleetGateway`: the gateways that it chooses between. */
export interface FleetGatewayOptions {
  readonly vm: string;
  readonly clock: Pick<Clock, "now">;
  readonly listLive: () => readonly Vm[];
  readonly owner: OwnerGateway;
  readonly remote: GroupGateway;
}

/** Opens conversations at the owner of a group, which is this process or a remote one. */
export class FleetGateway implements GroupGateway {
  /** When each VM that could not be reached may be chosen again, by its name. */
  private readonly avoidedUntil = new Map<string, number>();
  private readonly owners: OwnerTable;

  constructor(private readonly options: FleetGatewayOptions) {
    this.owners = new OwnerTable(options.listLive);
  }

  open(group: string): Conversation {
    const { owner, remote } = this.options;
    return this.findRemoteOwner(group) === undefined ? owner.open(group) : remote.open(group);
  }

  /**
   * Avoids a VM for a while. Membership takes seconds to declare a VM down, so that one lost packet
   * doesn't mislead it, and the writes to a group would wait as long. Two owners at the same time
   * do no harm, so that the next VM in order can serve the group at the first failure.
   */
  markUnreachable(vm: string): void {
    this.avoidedUntil.set(vm, this.options.clock.now() + avoidUnreachableMs);
  }

  /** Returns the other VM that serves the group; undefined if this process serves it. */
  findRemoteOwner(group: string): Vm | undefined {
    const { vm } = this.options;
    const order = this.listOwners(group);
    const [first, second] = order.filter((o) => !this.isAvoided(o.name));
    const chosen = first ?? order[0];
    if (chosen?.name !== vm) return chosen;
    return this.isCutOff(group) ? second : undefined;
  }

  /**
   * Returns the next VM in order if this process serves the group but can't reach its primary;
   * undefined if this process can serve the group itself.
   */
  findReplacementOwner(group: string): Vm | undefined {
    if (!this.isCutOff(group)) return undefined;
    return this.listOwners(group).find((o) => o.name !== this.options.vm);
  }

  /**
   * Whether this process owns the group according to the live VMs, even if it can't reach the
   * group's primary.
   */
  isOwned(group: string): boolean {
    return this.owners.findOwners(group)[0]?.name === this.options.vm;
  }

  /** Lists the first two VMs in order, or all live VMs while one of those two is avoided. */
  private listOwners(group: string): readonly Vm[] {
    const pair = this.owners.findOwners(group);
    const hasAvoided = pair.some((o) => this.isAvoided(o.name));
    return hasAvoided ? orderOwners(group, this.options.listLive()) : pair;
  }

  private isAvoided(vm: string): boolean {
    const until = this.avoidedUntil.get(vm);
    if (until === undefined) return false;
    if (until > this.options.clock.now()) return true;
    this.avoidedUntil.delete(vm);
    return false;
  }

  /** Whether this process can't reach the group's primary and thus serve it; another VM may. */
  private isCutOff(group: string): boolean {
    return this.options.owner.findGroup(group)?.watch.isCutOff === true;
  }
}
