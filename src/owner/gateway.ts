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

const unknownRetryMs = 1000;

/** How long a group that this process no longer owns is kept without a conversation. */
const idleCloseMs = 5000;

interface Served {
  readonly group: ServedGroup;
  conversations: number;
  idleSince: number;
}

/**
 * The groups that this process serves. A group is opened when this process owns it, or when a peer
 * that takes it for the owner asks: two owners at once cost connections and break nothing.
 */
export class OwnerGateway implements GroupGateway, Disposable {
  private readonly served = new Map<string, Served>();
  private groups: ReadonlyMap<string, Group> = new Map();
  private owned: ReadonlySet<string> = new Set();
  private isDraining = false;

  constructor(private readonly ports: OwnerPorts) {}

  /** Takes the platform's groups, and which of them this process owns. */
  setGroups(groups: ReadonlyMap<string, Group>, owned: ReadonlySet<string>): void {
    this.groups = groups;
    this.owned = owned;
    for (const name of owned) this.findServed(name);
    for (const [name, served] of this.served) {
      const group = groups.get(name);
      if (group !== undefined) served.group.setGroup(group);
    }
  }

  /** Hands on what leaves and closes groups that nobody uses. To be called about once a second. */
  async tend(): Promise<void> {
    for (const { group } of this.served.values()) group.switchFromLeaving();
    await this.closeIdle();
  }

  private async closeIdle(): Promise<void> {
    const now = this.ports.clock.now();
    for (const [name, served] of [...this.served]) {
      const isUsed = served.conversations > 0 || this.owned.has(name);
      if (isUsed || now - served.idleSince < idleCloseMs) continue;
      this.served.delete(name);
      await served.group.dispose();
    }
  }

  open(group: string): Conversation {
    if (this.isDraining) return this.openRefused(group, "draining");
    const served = this.findServed(group);
    if (served === undefined) return this.openRefused(group, "noOwner");
    served.conversations += 1;
    return new OwnerConversation(served.group, () => {
      served.conversations -= 1;
      served.idleSince = this.ports.clock.now();
    });
  }

  /** The groups that are open now. */
  list(): readonly ServedGroup[] {
    return [...this.served.values()].map((s) => s.group);
  }

  find(group: string): ServedGroup | undefined {
    return this.served.get(group)?.group;
  }

  /** The conversations that have not ended. */
  countConversations(): number {
    return [...this.served.values()].reduce((sum, s) => sum + s.conversations, 0);
  }

  /** No new conversations; those that are open go on to their end. */
  drain(): void {
    this.isDraining = true;
  }

  async dispose(): Promise<void> {
    const all = [...this.served.values()];
    this.served.clear();
    await Promise.all(all.map((s) => s.group.dispose()));
  }

  private findServed(name: string): Served | undefined {
    const known = this.served.get(name);
    if (known !== undefined) return known;
    const group = this.groups.get(name);
    if (group === undefined) return undefined;
    const served: Served = {
      group: new ServedGroup(group, this.ports),
      conversations: 0,
      idleSince: this.ports.clock.now(),
    };
    this.served.set(name, served);
    served.group.start();
    return served;
  }

  private openRefused(group: string, reason: NotRunReason): Conversation {
    const { logger } = this.ports;
    return {
      run(request): Promise<Outcome> {
        logger.write(ownerEvents.requestRefused, { request: request.id, group, reason });
        return Promise.resolve(
          refuse(reason, unknownRetryMs, `this proxy does not serve ${group}`),
        );
      },
      close: () => undefined,
    };
  }
}
