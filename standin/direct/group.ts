/** One commit of a group's log. */
export interface StandinCommit {
  readonly term: number;
  readonly number: number;
  readonly writes: readonly { readonly id: string; readonly item: string; readonly data: string }[];
}

/** What a member knows of itself. */
export interface StandinMember {
  readonly id: string;
  role: "primary" | "replica";
  term: number;
  /** The newest term that it was told of. */
  heldTerm: number;
  log: readonly StandinCommit[];
  isReceiving: boolean;
}

/** A group's log on its members, without a network: copying is a call. */
export class StandinLog {
  readonly members = new Map<string, StandinMember>();
  /** Whether commits reach the replicas at once. */
  isCopying = true;

  add(id: string, role: "primary" | "replica"): StandinMember {
    const member: StandinMember = {
      id,
      role,
      term: 1,
      heldTerm: 1,
      log: [],
      isReceiving: true,
    };
    this.members.set(id, member);
    return member;
  }

  /** Appends to a primary's log; gives its position. */
  commit(member: StandinMember, writes: StandinCommit["writes"]): void {
    if (writes.length === 0) return;
    const commit = { term: member.term, number: member.log.length + 1, writes };
    member.log = [...member.log, commit];
    if (this.isCopying) this.copy();
  }

  /** Brings every receiving replica of the newest primary up to date. */
  copy(): void {
    const primary = this.findPrimary();
    if (primary === undefined) return;
    for (const member of this.members.values()) {
      if (member === primary || member.role === "primary" || !member.isReceiving) continue;
      member.log = primary.log;
      member.term = primary.term;
    }
  }

  /** The primary of the newest term. */
  findPrimary(): StandinMember | undefined {
    const primaries = [...this.members.values()].filter((m) => m.role === "primary");
    return primaries.sort((a, b) => b.term - a.term)[0];
  }

  /** Makes a member lead the next term with what it has. */
  promote(id: string): boolean {
    const member = this.members.get(id);
    if (member === undefined) return false;
    if (member.role === "primary" && this.findPrimary() === member) return true;
    const term =
      Math.max(...[...this.members.values()].map((m) => Math.max(m.term, m.heldTerm))) + 1;
    member.role = "primary";
    member.term = term;
    member.heldTerm = term;
    this.copy();
    return true;
  }
}

/** The position of a member's log. */
export function formatLogPosition(member: StandinMember): string {
  const last = member.log.at(-1);
  return `${last?.term ?? member.term}.${last?.number ?? 0}`;
}
