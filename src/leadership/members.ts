import type { AnnouncedTarget } from "../direct/index.js";
import { listFormerTargets, type RecordedTargets } from "../feed/index.js";
import { leadershipEvents } from "../log/events/leadership.js";
import { hasReceived } from "./completeness.js";
import type { TargetInquirer } from "./inquirer.js";
import type { LeadershipPorts } from "./ports.js";

/** Interval between checks whether the logs of a group's former targets are still needed, in milliseconds. */
const checkIntervalMs = 2000;
/** How long a check waits until a replica has received what the primary had, in milliseconds. */
const catchUpTimeoutMs = 1500;
const catchUpPollMs = 100;

type GroupMembersPorts = Pick<LeadershipPorts, "clock" | "logger" | "listTargets" | "records">;

/**
 * The targets of synchronous groups that may hold acknowledged commits: the listed ones, and former ones whose entries
 * are gone. A primary acknowledges a commit once any replica has received it. If that one is gone when the primary
 * fails, the others may lack the commit, and only its log, or the primary's, has it.
 */
export class GroupMembers {
  /** By group: the targets that were listed or recorded, as they last were. */
  private readonly known = new Map<string, RecordedTargets>();
  /** By group: former targets whose commits a listed replica has received. */
  private readonly covered = new Map<string, ReadonlySet<string>>();
  /** The groups whose record was read by this process. */
  private readonly loaded = new Set<string>();
  private readonly checking = new Set<string>();
  private readonly nextCheckAt = new Map<string, number>();

  constructor(
    private readonly ports: GroupMembersPorts,
    private readonly inquirer: TargetInquirer,
  ) {}

  /** Records a group's listed targets, and checks at intervals whether the logs of former ones are still needed. */
  observe(group: string, primary: string | undefined): void {
    const now = this.ports.clock.now();
    this.update(group, this.known.get(group) ?? { targets: [] });
    if (this.checking.has(group) || now < (this.nextCheckAt.get(group) ?? 0)) return;
    this.checking.add(group);
    void this.checkFormer(group, primary).finally(() => {
      this.checking.delete(group);
      this.nextCheckAt.set(group, this.ports.clock.now() + checkIntervalMs);
    });
  }

  /** Lists the known targets of a group that are not listed any more and may hold commits that no other one has. */
  listFormer(group: string): readonly AnnouncedTarget[] {
    const covered = this.covered.get(group);
    const former = this.known.get(group)?.former ?? [];
    return former.filter(({ name }) => covered?.has(name) !== true);
  }

  /** Adds the targets of the group's record, which outlives processes; resolves to false if it can't be read. */
  async load(group: string): Promise<boolean> {
    const recorded = await this.ports.records.read(group);
    if (recorded === undefined) return false;
    this.loaded.add(group);
    const { targets, former = [] } = this.known.get(group) ?? { targets: [] };
    const recordedTargets = [...(recorded.former ?? []), ...recorded.targets];
    this.update(group, { targets, former: [...recordedTargets, ...former] });
    return true;
  }

  private update(group: string, known: RecordedTargets): void {
    const targets = this.ports.listTargets(group);
    this.known.set(group, { targets, former: listFormerTargets(known, targets) });
    const covered = this.covered.get(group);
    if (covered === undefined) return;
    const isListed = (name: string) => targets.some((target) => target.name === name);
    this.covered.set(group, new Set([...covered].filter((name) => !isListed(name))));
  }

  /** Drops the former targets that don't answer once a listed replica has all that the primary had by then. */
  private async checkFormer(group: string, primary: string | undefined): Promise<void> {
    if (!this.loaded.has(group)) await this.load(group);
    if (primary === undefined || this.listFormer(group).length === 0) return;
    const silent = await this.listSilentFormer(group);
    if (silent.length === 0 || !(await this.isCovered(group, primary))) return;
    this.covered.set(group, new Set([...(this.covered.get(group) ?? []), ...silent]));
    this.ports.logger.write(leadershipEvents.formerTargetsCovered, { group, targets: silent });
    await this.ports.records.forget(group, silent);
  }

  private async listSilentFormer(group: string): Promise<readonly string[]> {
    const names = this.listFormer(group).map(({ name }) => name);
    const isAlive = await Promise.all(names.map((name) => this.inquirer.reachesAny(group, [name])));
    return names.filter((_, index) => isAlive[index] !== true);
  }

  /** Whether a listed replica receives all that the primary has now. */
  private async isCovered(group: string, primary: string): Promise<boolean> {
    const { clock } = this.ports;
    const status = await this.ask(group, primary);
    if (status?.role !== "primary") return false;
    const replicas = this.ports.listTargets(group).filter(({ name }) => name !== primary);
    const until = clock.now() + catchUpTimeoutMs;
    while (clock.now() < until) {
      const reports = await Promise.all(replicas.map(({ name }) => this.ask(group, name)));
      if (reports.some((report) => report && hasReceived(report, status))) return true;
      await clock.sleep(catchUpPollMs);
    }
    return false;
  }

  private ask(group: string, target: string) {
    return this.inquirer.askWithFallback({ group, target, demoteRound: undefined });
  }
}
