import { OwnerTable } from "../fleet/index.js";
import type { Clock, Conversation, GroupGateway, Vm } from "../model/index.js";
import type { OwnerGateway } from "../owner/index.js";
import { orderOwners } from "../policy/index.js";

/** How long a VM that could not be reached is passed over, in milliseconds. */
const doubtMs = 3000;

/** What a `FleetGateway` chooses between. */
export interface FleetGatewayOptions {
  readonly vm: string;
  readonly clock: Pick<Clock, "now">;
  readonly listLive: () => readonly Vm[];
  readonly owner: OwnerGateway;
  readonly remote: GroupGateway;
}

/** Opens conversations at a group's owner, which is this process or another. */
export class FleetGateway implements GroupGateway {
  /** Until when each VM that could not be reached is passed over. */
  private readonly doubts = new Map<string, number>();
  private readonly owners: OwnerTable;

  constructor(private readonly options: FleetGatewayOptions) {
    this.owners = new OwnerTable(options.listLive);
  }

  open(group: string): Conversation {
    const { owner, remote } = this.options;
    return this.findOther(group) === undefined ? owner.open(group) : remote.open(group);
  }

  /**
   * Passes a VM over for a while. Membership takes seconds to call a VM down, so as not to be misled
   * by one lost packet; a group's writes would stand still for as long. Two owners at once break
   * nothing, so the next in order can serve it at the first sign.
   */
  noteBroken(vm: string): void {
    this.doubts.set(vm, this.options.clock.now() + doubtMs);
  }

  /** The VM that owns the group when that is another one; nothing when this process serves it. */
  findOther(group: string): Vm | undefined {
    const { vm } = this.options;
    const order = this.listOwners(group);
    const [first, second] = order.filter((o) => !this.isDoubted(o.name));
    const chosen = first ?? order[0];
    if (chosen?.name !== vm) return chosen;
    return this.isCutOff(group) ? second : undefined;
  }

  /** The next in order when this process serves the group but is cut off from its primary. */
  findSuccessor(group: string): Vm | undefined {
    if (!this.isCutOff(group)) return undefined;
    return this.listOwners(group).find((o) => o.name !== this.options.vm);
  }

  /** Whether this process owns the group by the live VMs, cut off or not. */
  isOwned(group: string): boolean {
    return this.owners.find(group)[0]?.name === this.options.vm;
  }

  /** The first two in order; all of them only while one of those is in doubt. */
  private listOwners(group: string): readonly Vm[] {
    const pair = this.owners.find(group);
    const hasDoubt = pair.some((o) => this.isDoubted(o.name));
    return hasDoubt ? orderOwners(group, this.options.listLive()) : pair;
  }

  private isDoubted(vm: string): boolean {
    const until = this.doubts.get(vm);
    if (until === undefined) return false;
    if (until > this.options.clock.now()) return true;
    this.doubts.delete(vm);
    return false;
  }

  /** Cut off from the group's primary, this process can serve nothing; the next VM may reach it. */
  private isCutOff(group: string): boolean {
    return this.options.owner.findGroup(group)?.watch.isCutOff === true;
  }
}
