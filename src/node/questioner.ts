import type { AnnouncedTarget } from "../direct/index.js";
import type { TargetAnswer, TargetQuestion } from "../leadership/index.js";
import { LinkError } from "../lines/index.js";
import { nodeEvents } from "../log/events/node.js";
import type { Logger } from "../log/index.js";
import type { Clock } from "../model/index.js";
import type { TargetLink } from "../statement/index.js";
import type { NodeAdapter } from "./ports.js";

/** What a questioner needs. */
export interface QuestionerPorts {
  readonly adapter: Pick<NodeAdapter, "dialer" | "parseReport">;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly listTargets: (group: string) => readonly AnnouncedTarget[];
  /** Whether a group's primary has answered a statement of this node since `since`. */
  readonly hasReached: (group: string, target: string, since: number) => boolean;
}

/** A probe opens a connection, 12 ms and one of the target's slots, behind what those slots work on. */
const probeMs = 200;
/** Between two tries to ask a target whose slots are all taken: the shortest work. */
const busyPauseMs = 5;

/** Asks targets over fresh connections: one in use may be silent while the target lives. */
export class TargetQuestioner {
  constructor(private readonly ports: QuestionerPorts) {}

  /** Whether a target takes a connection, or refuses one: both are signs of life. */
  async probe(group: string, name: string): Promise<boolean> {
    const target = this.find(group, name);
    if (target === undefined) return false;
    try {
      const link = await this.ports.adapter.dialer.open(group, target, probeMs, undefined);
      link.close();
      return true;
    } catch (error) {
      const isRefused = error instanceof LinkError && error.kind === "refused";
      if (!isRefused) this.noteSilent(group, name, error);
      return isRefused;
    }
  }

  async ask(question: TargetQuestion, timeoutMs: number): Promise<TargetAnswer> {
    const { group, target, demoteRound } = question;
    const listed = this.find(group, target);
    if (listed === undefined) return { type: "silent" };
    const { adapter, clock, hasReached } = this.ports;
    const askedAt = clock.now();
    try {
      const link = await adapter.dialer.open(group, listed, timeoutMs, undefined);
      try {
        return await this.askOn(link, demoteRound, askedAt + timeoutMs);
      } finally {
        link.close();
      }
    } catch (error) {
      this.noteSilent(group, target, error);
      return { type: hasReached(group, target, askedAt) ? "alive" : "silent" };
    }
  }

  /** The target refuses while all its slots are taken: asked again until the time is over. */
  private async askOn(
    link: TargetLink,
    demoteRound: number | undefined,
    until: number,
  ): Promise<TargetAnswer> {
    const { adapter, clock } = this.ports;
    const command =
      demoteRound === undefined
        ? ({ type: "status" } as const)
        : ({ type: "demote", round: demoteRound } as const);
    for (;;) {
      const result = await link.run(command, until - clock.now());
      // It has just taken the connection.
      if (result.type === "broken") return { type: "alive" };
      const { end } = result.reply;
      if (end.type === "complete") {
        const report = adapter.parseReport(result.reply);
        return report === undefined ? { type: "silent" } : { type: "report", report };
      }
      if (end.code !== "busy") return { type: "silent" };
      if (clock.now() + busyPauseMs >= until) return { type: "alive" };
      await clock.sleep(busyPauseMs);
    }
  }

  private find(group: string, name: string): AnnouncedTarget | undefined {
    return this.ports.listTargets(group).find((target) => target.name === name);
  }

  private noteSilent(group: string, target: string, error: unknown): void {
    this.ports.logger.write(nodeEvents.targetUnanswered, { group, target, reason: String(error) });
  }
}
