import { leadershipEvents } from "../log/events/leadership.js";
import type { TargetReport } from "../statement/index.js";
import { hasReceived, listLongest } from "./completeness.js";
import { chooseCandidate, type Candidate } from "./decide.js";
import type { TargetInquirer } from "./inquirer.js";
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
  ) {}

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

  /**
   * Waits until a target has the old primary's whole log, if the end of that log is known, and takes the best one then. Of
   * a synchronous group it has the longest log of all, also if it is leaving: others may lack acknowledged commits.
   */
  async choose(change: ChangeUnderWay): Promise<Candidate | undefined> {
    const { clock } = this.ports;
    const { oldTarget, oldReport } = change;
    const isSynchronous = this.ports.isSynchronous(change.group);
    const until = clock.now() + catchUpTimeoutMs;
    for (;;) {
      const candidates = await this.listCandidates(change);
      const pool = isSynchronous ? listLongest(candidates) : candidates;
      const chosen = chooseCandidate(pool, oldTarget);
      const isWhole =
        oldReport === undefined || (chosen !== undefined && hasReceived(chosen.report, oldReport));
      if (isWhole || clock.now() >= until) {
        this.logChosen(change, chosen, candidates);
        return chosen;
      }
      await clock.sleep(catchUpPollMs);
    }
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

function listPositions(candidates: readonly Candidate[]): readonly string[] {
  return candidates.map(({ target, report }) => `${target} ${formatReport(report)}`);
}

/** Formats a report's role, position and round for the log. */
export function formatReport({ role, received, round }: TargetReport): string {
  return `${role} ${received.term.round}.${received.offset} of ${round}`;
}
