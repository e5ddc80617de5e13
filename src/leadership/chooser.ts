import { leadershipEvents } from "../log/events/leadership.js";
import type { TargetReport } from "../statement/index.js";
import { hasReceived, listCompleteCandidates } from "./completeness.js";
import { chooseCandidate, type Candidate } from "./decide.js";
import type { TargetInquirer } from "./inquirer.js";
import type { GroupMembers } from "./members.js";
import type { LeadershipPorts } from "./ports.js";

/** A replica receives the rest of the old primary's log within a few times its lag of 60 to 150 ms. */
const catchUpTimeoutMs = 1500;
const catchUpPollMs = 25;

/** The change that a promotion belongs to. */
export interface ChangeUnderWay {
  readonly group: string;
  readonly round: number;
  readonly oldTarget: string;
  /** The data centre of the old primary, if it is known. */
  readonly oldDataCentre: string | undefined;
  /** The old primary's report when it was demoted; `undefined` if no proxy reached it. */
  readonly oldReport: TargetReport | undefined;
  /** Whether its log has every acknowledged commit: it lost none, and no other target can have led since. */
  readonly isOldLogWhole: boolean;
}

type CandidateChooserPorts = Pick<
  LeadershipPorts,
  "topology" | "clock" | "logger" | "listTargets" | "isSynchronous"
>;

/** Chooses the target that becomes primary, by the reports of the group's targets. */
export class CandidateChooser {
  constructor(
    private readonly ports: CandidateChooserPorts,
    private readonly inquirer: TargetInquirer,
    private readonly members: GroupMembers,
  ) {}

  /** Resolves to the target to promote; `undefined` if there is none, or none that may be promoted now. */
  choose(change: ChangeUnderWay): Promise<Candidate | undefined> {
    return this.ports.isSynchronous(change.group)
      ? this.chooseComplete(change)
      : this.chooseLongest(change);
  }

  /**
   * Whether a target that stays has received all that a primary has now, so that it can replace it at once. Waits for it
   * as long as a change would wait, while the primary goes on serving.
   */
  async hasCompleteSuccessor(group: string, primary: string): Promise<boolean> {
    const { clock } = this.ports;
    const status = await this.ask(group, primary);
    if (status === undefined) return true;
    const until = clock.now() + catchUpTimeoutMs;
    for (;;) {
      const staying = this.ports
        .listTargets(group)
        .filter(({ name, isLeaving }) => name !== primary && isLeaving !== true);
      const reports = await Promise.all(staying.map(({ name }) => this.ask(group, name)));
      if (reports.some((report) => report && hasReceived(report, status))) return true;
      if (clock.now() >= until) return false;
      await clock.sleep(catchUpPollMs);
    }
  }

  /** Waits until a target has the old primary's whole log, if the end of that log is known, and takes the longest then. */
  private async chooseLongest(change: ChangeUnderWay): Promise<Candidate | undefined> {
    const { clock } = this.ports;
    const { oldTarget, oldReport } = change;
    const until = clock.now() + catchUpTimeoutMs;
    for (;;) {
      const candidates = await this.listCandidates(change);
      const chosen = chooseCandidate(candidates, oldTarget);
      const isWhole =
        oldReport === undefined || (chosen !== undefined && hasReceived(chosen.report, oldReport));
      if (isWhole || clock.now() >= until) {
        this.logChosen(change, chosen, candidates);
        return chosen;
      }
      await clock.sleep(catchUpPollMs);
    }
  }

  /**
   * Takes only a target that certainly has every acknowledged commit. While the old primary's log may still arrive, a
   * target that stays and has all of it is waited for.
   */
  private async chooseComplete(change: ChangeUnderWay): Promise<Candidate | undefined> {
    const { clock } = this.ports;
    const { group, oldTarget, oldReport, isOldLogWhole } = change;
    const oldEnd = isOldLogWhole ? oldReport?.received : undefined;
    const until = clock.now() + catchUpTimeoutMs;
    const areMembersKnown = await this.members.load(group);
    for (;;) {
      const candidates = await this.listCandidates(change);
      const missing = this.listMissing(change, candidates);
      const isOver = clock.now() >= until;
      const isOldLogAwaited = oldReport !== undefined && !isOver;
      const hasAllReplicas = areMembersKnown && missing.length === 0 && !isOldLogAwaited;
      const complete = listCompleteCandidates(candidates, { oldEnd, hasAllReplicas });
      const chosen = chooseCandidate(complete, oldTarget);
      const canWait = isOldLogAwaited && isReluctant(chosen, oldTarget);
      if (chosen !== undefined && !canWait) {
        this.logChosen(change, chosen, candidates);
        return chosen;
      }
      if (isOver) {
        const positions = listPositions(candidates);
        const fields = { group, positions, missing, areMembersKnown };
        this.ports.logger.write(leadershipEvents.candidateMissing, fields);
        return undefined;
      }
      await clock.sleep(catchUpPollMs);
    }
  }

  /** The targets besides the old primary that may hold acknowledged commits and did not report. */
  private listMissing(
    { group, oldTarget }: ChangeUnderWay,
    candidates: readonly Candidate[],
  ): readonly string[] {
    const all = [...this.ports.listTargets(group), ...this.members.listFormer(group)];
    const reported = new Set([oldTarget, ...candidates.map(({ target }) => target)]);
    return all.map(({ name }) => name).filter((name) => !reported.has(name));
  }

  /** Asks the targets that may become primary. An old primary that no proxy reached is skipped. */
  private async listCandidates(change: ChangeUnderWay): Promise<readonly Candidate[]> {
    const { group, oldTarget, oldReport } = change;
    const silent = oldReport === undefined ? oldTarget : undefined;
    const targets = this.ports.listTargets(group).filter(({ name }) => name !== silent);
    const asked = targets.map(async ({ name, isLeaving, dataCentre }) => {
      const report = await this.ask(group, name);
      if (report === undefined) return [];
      const isRemote = this.isRemote(change, dataCentre);
      return [{ target: name, isLeaving: isLeaving === true, report, isRemote }];
    });
    return (await Promise.all(asked)).flat();
  }

  private isRemote({ oldDataCentre }: ChangeUnderWay, dataCentre: string): boolean {
    if (oldDataCentre === undefined) return false;
    return this.ports.topology.measureDistance(oldDataCentre, dataCentre) === "remote";
  }

  private ask(group: string, target: string): Promise<TargetReport | undefined> {
    return this.inquirer.askWithFallback({ group, target, demoteRound: undefined });
  }

  private logChosen(
    { group }: ChangeUnderWay,
    chosen: Candidate | undefined,
    candidates: readonly Candidate[],
  ): void {
    const target = chosen?.target ?? null;
    const positions = listPositions(candidates);
    this.ports.logger.write(leadershipEvents.candidateChosen, { group, target, positions });
  }
}

/** Whether others are given time to receive the rest of the log before this target is taken. */
function isReluctant(chosen: Candidate | undefined, oldTarget: string): boolean {
  return chosen === undefined || chosen.isLeaving || chosen.target === oldTarget;
}

function listPositions(candidates: readonly Candidate[]): readonly string[] {
  return candidates.map(({ target, report }) => `${target} ${formatReport(report)}`);
}

/** Formats a report's role, position and round for the log. */
export function formatReport({ role, received, round }: TargetReport): string {
  return `${role} ${received.term.round}.${received.offset} of ${round}`;
}
