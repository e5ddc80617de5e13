/** A commit in the log of a group. */
export interface StandinCommit {
  readonly term: number;
  readonly number: number;
  readonly writes: readonly { readonly id: string; readonly item: string; readonly data: string }[];
}

/** The state of a member of a group. */
export interface StandinMember {
  readonly id: string;
  role: "primary" | "replica";
  term: number;
  /** The newest term that it knows of, which may be above the term of its log. */
  heldTerm: number;
  log: readonly StandinCommit[];
  isReceiving: boolean;
  /** How much later than others it receives a commit, in milliseconds. */
  extraLagMs: number;
}

/** The replicated log of a group. Replication is a method call and uses no network. */
export class StandinLog {
  readonly members = new Map<string, StandinMember>();
  /** Whether each commit is replicated immediately; otherwise only by `copy`. */
  isCopying = true;
  /** The writes that promotions have rolled back: the log of the target promoted lacked them. */
  readonly rolledBack = new Set<string>();
  /** The writes that a superseded primary has committed, with its id, in order. */
  readonly superseded: { readonly id: string; readonly member: string; readonly at: number }[] = [];
  /** How long after a commit the replicas receive it, in milliseconds. */
  lagMs = 0;
  /** How many replicas must have received a commit before it is acknowledged. */
  syncReplicas = 0;
  /** Whether a replica receives what a primary commits now. */
  isLinked: (primary: StandinMember, replica: StandinMember) => boolean = () => true;

  add(id: string, role: "primary" | "replica"): StandinMember {
    const member: StandinMember = {
      id,
      role,
      term: 1,
      heldTerm: 1,
      log: [],
      isReceiving: true,
      extraLagMs: 0,
    };
    this.members.set(id, member);
    return member;
  }

  /** Appends a commit to the log of a primary; does nothing without writes. */
  commit(member: StandinMember, writes: StandinCommit["writes"]): void {
    if (writes.length === 0) return;
    const commit = { term: member.term, number: member.log.length + 1, writes };
    const log = [...member.log, commit];
    member.log = log;
    if (this.findPrimary() !== member) this.recordSuperseded(member, writes);
    if (this.isCopying) this.replicate();
  }

  /** Whether enough replicas have received the last commit of a primary, or of a log that was as long. */
  isReceived({ id, term }: StandinMember, length: number): boolean {
    const others = [...this.members.values()].filter((member) => member.id !== id);
    const received = others.filter((member) => member.term === term && member.log.length >= length);
    return received.length >= this.syncReplicas;
  }

  private recordSuperseded(member: StandinMember, writes: StandinCommit["writes"]): void {
    for (const { id } of writes) this.superseded.push({ id, member: member.id, at: Date.now() });
  }

  /** Sends the log of the primary to all replicas, which receive it after their lags. */
  replicate(): void {
    const primary = this.findPrimary();
    if (primary === undefined) return;
    const { log } = primary;
    for (const replica of this.members.values()) {
      const delayMs = this.lagMs + replica.extraLagMs;
      if (delayMs === 0) this.copyLog(primary, log, replica);
      else setTimeout(() => this.copyLog(primary, log, replica), delayMs).unref();
    }
  }

  /** Replaces the log of every receiving replica by that of the primary of the newest term. */
  copy(): void {
    const primary = this.findPrimary();
    if (primary === undefined) return;
    for (const replica of this.members.values()) this.copyLog(primary, primary.log, replica);
  }

  /**
   * Replaces the log of a receiving replica by one of the primary, unless another has been promoted since. A superseded
   * primary that still calls itself primary does not replace what its successor has sent.
   */
  private copyLog(primary: StandinMember, log: StandinMember["log"], replica: StandinMember): void {
    if (primary !== this.findPrimary()) return;
    if (replica === primary || replica.role === "primary" || !replica.isReceiving) return;
    if (!this.isLinked(primary, replica) || replica.term > primary.term) return;
    if (replica.term === primary.term && replica.log.length > log.length) return;
    replica.log = log;
    replica.term = primary.term;
  }

  /** Returns the primary of the newest term, or undefined when no member is primary. */
  findPrimary(): StandinMember | undefined {
    const primaries = [...this.members.values()].filter((m) => m.role === "primary");
    return primaries.sort((a, b) => b.term - a.term)[0];
  }

  private recordRolledBack(promoted: StandinMember): void {
    const listIds = ({ log }: StandinMember) =>
      log.flatMap(({ writes }) => writes.map((w) => w.id));
    const kept = new Set(listIds(promoted));
    for (const id of [...this.members.values()].flatMap(listIds)) {
      if (!kept.has(id)) this.rolledBack.add(id);
    }
  }

  /** The log of the primary, or the longest of the newest term while no member is primary. */
  findNewest(): StandinMember["log"] {
    const members = [...this.members.values()];
    const [newest] = members.sort((a, b) => b.term - a.term || b.log.length - a.log.length);
    return (this.findPrimary() ?? newest)?.log ?? [];
  }

  /**
   * Makes a superseded primary a replica of its successor, as it does when it comes back from a crash or has been in
   * touch with its successor for a while. What its log has that its successor's lacks is rolled back.
   */
  demoteSuperseded(member: StandinMember): void {
    const primary = this.findPrimary();
    if (member.role !== "primary" || primary === undefined || primary === member) return;
    member.role = "replica";
    member.heldTerm = Math.max(member.heldTerm, primary.term);
    this.replicate();
  }

  /** Makes a member the primary of a new term, with the log that it has. False when it does not exist. */
  promote(id: string): boolean {
    const member = this.members.get(id);
    if (member === undefined) return false;
    if (member.role === "primary" && this.findPrimary() === member) return true;
    const term =
      Math.max(...[...this.members.values()].map((m) => Math.max(m.term, m.heldTerm))) + 1;
    this.recordRolledBack(member);
    member.role = "primary";
    member.term = term;
    member.heldTerm = term;
    this.copy();
    return true;
  }
}

/** Formats the end position of a member's log as `term.number`. */
export function formatLogPosition(member: StandinMember): string {
  const last = member.log.at(-1);
  return `${last?.term ?? member.term}.${last?.number ?? 0}`;
}
