import { ownerEvents } from "../log/events/owner.js";
import type {
  Conversation,
  Disposable,
  Group,
  GroupGateway,
  NotRunReason,
  Outcome,
} from "../model/index.js";
import { OwnerConversation } from "./conversation.js";
import { refuse } from "./context.js";
import { ServedGroup } from "./group.js";
import type { OwnerPorts } from "./ports.js";

const refusalRetryMs = 1000;

/** How long a group that this process does not own stays open without conversations, in milliseconds. */
const idleGroupTimeoutMs = 5000;

interface GroupEntry {
  readonly group: ServedGroup;
  conversations: number;
  idleSince: number;
}

/**
 * The groups that this process serves. A group is opened when this process owns it, or when a peer that
 * considers this process the owner sends a request. Two owners at the same time use more connections but
 * break no guarantee.
 */
export class OwnerGateway implements GroupGateway, Disposable {
  private readonly served = new Map<string, GroupEntry>();
  private groups: ReadonlyMap<string, Group> = new Map();
  private owned: ReadonlySet<string> = new Set();
  private isDraining = false;

  constructor(private readonly ports: OwnerPorts) {}

  /** Applies the platform's list of groups and the names of those that this process owns. */
  setGroups(groups: ReadonlyMap<string, Group>, owned: ReadonlySet<string>): void {
    this.groups = groups;
    this.owned = owned;
    for (const name of owned) this.findOrOpen(name);
    for (const [name, served] of this.served) {
      const group = groups.get(name);
      if (group !== undefined) served.group.setGroup(group);
    }
  }

  /**
   * Moves the primary role off leaving targets and closes groups that nobody uses. Must be called about
   * once a second.
   */
  async runMaintenance(): Promise<void> {
    for (const { group } of this.served.values()) group.requestSwitchoverIfLeaving();
    await this.closeIdleGroups();
  }

  private async closeIdleGroups(): Promise<void> {
    const now = this.ports.clock.now();
    for (const [name, served] of [...this.served]) {
      const isUsed = served.conversations > 0 || this.owned.has(name);
      if (isUsed || now - served.idleSince < idleGroupTimeoutMs) continue;
      this.served.delete(name);
      await served.group.dispose();
    }
  }

  open(group: string): Conversation {
    if (this.isDraining) return this.createRefusingConversation(group, "draining");
    const served = this.findOrOpen(group);
    if (served === undefined) return this.createRefusingConversation(group, "noOwner");
    served.conversations += 1;
    return new OwnerConversation(served.group, () => {
      served.conversations -= 1;
      served.idleSince = this.ports.clock.now();
    });
  }

  /** Lists the groups that are open now. */
  listGroups(): readonly ServedGroup[] {
    return [...this.served.values()].map((s) => s.group);
  }

  findGroup(group: string): ServedGroup | undefined {
    return this.served.get(group)?.group;
  }

  /** Counts the conversations that have not ended. */
  countConversations(): number {
    return [...this.served.values()].reduce((sum, s) => sum + s.conversations, 0);
  }

  /** Refuses new conversations. Open ones continue to their end. */
  drain(): void {
    this.isDraining = true;
  }

  async dispose(): Promise<void> {
    const all = [...this.served.values()];
    this.served.clear();
    await Promise.all(all.map((s) => s.group.dispose()));
  }

  private findOrOpen(name: string): GroupEntry | undefined {
    const known = this.served.get(name);
    if (known !== undefined) return known;
    const group = this.groups.get(name);
    if (group === undefined) return undefined;
    const served: GroupEntry = {
      group: new ServedGroup(group, this.ports),
      conversations: 0,
      idleSince: this.ports.clock.now(),
    };
    this.served.set(name, served);
    served.group.start();
    return served;
  }

  private createRefusingConversation(group: string, reason: NotRunReason): Conversation {
    const { logger } = this.ports;
    return {
      run(request): Promise<Outcome> {
        logger.write(ownerEvents.requestRefused, { request: request.id, group, reason });
        return Promise.resolve(
          refuse(reason, refusalRetryMs, `this proxy does not serve ${group}`),
        );
      },
      close: () => undefined,
    };
  }
}
