import type { AnnouncedTarget } from "../direct/index.js";
import type { TargetAnswer, TargetQuestion } from "../leadership/index.js";
import { LinkError } from "../lines/index.js";
import { nodeEvents } from "../log/events/node.js";
import type { Logger } from "../log/index.js";
import type { Clock } from "../model/index.js";
import type { TargetLink } from "../statement/index.js";
import { ResponseTimes } from "../system/index.js";
import type { NodeAdapter } from "./ports.js";

/** The dependencies of `TargetStatusClient`. */
export interface TargetStatusClientPorts {
  readonly adapter: Pick<NodeAdapter, "dialer" | "parseReport">;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly listTargets: (group: string) => readonly AnnouncedTarget[];
  /** Whether the target, as the group's primary, has answered a statement of this node since `since`. */
  readonly hasReached: (group: string, target: string, since: number) => boolean;
}

/**
 * In milliseconds. Opening a connection takes 12 ms and one of the target's slots, after any wait for
 * the statements that occupy the slots.
 */
const probeTimeoutMs = 200;
/** Pause before a target with no free slot is asked again, in milliseconds: the shortest statement. */
const busyRetryMs = 5;

/** Asks targets over new connections, since an existing one may be dead while its target is alive. */
export class TargetStatusClient {
  private readonly responseTimes: ResponseTimes;

  constructor(private readonly ports: TargetStatusClientPorts) {
    this.responseTimes = new ResponseTimes(() => ports.clock.now());
  }

  /** Whether a target accepts or refuses a connection; either shows that it is alive. */
  async probe(group: string, name: string): Promise<boolean> {
    const target = this.findTarget(group, name);
    if (target === undefined) return false;
    try {
      const link = await this.open(group, target, probeTimeoutMs);
      link.close();
      return true;
    } catch (error) {
      const isRefused = error instanceof LinkError && error.kind === "refused";
      if (!isRefused) this.logSilent(group, name, error);
      return isRefused;
    }
  }

  /** Reads a target's status, or demotes it; `alive` when it only showed that it is running. */
  async ask(question: TargetQuestion, timeoutMs: number): Promise<TargetAnswer> {
    const { group, target, demoteRound } = question;
    const listed = this.findTarget(group, target);
    if (listed === undefined) return { type: "silent" };
    const { clock, hasReached } = this.ports;
    const askedAt = clock.now();
    try {
      const link = await this.open(group, listed, timeoutMs);
      const until = askedAt + this.responseTimes.computeTimeoutMs(timeoutMs);
      try {
        return await this.askOverLink(link, demoteRound, until);
      } finally {
        link.close();
      }
    } catch (error) {
      this.logSilent(group, target, error);
      return { type: hasReached(group, target, askedAt) ? "alive" : "silent" };
    }
  }

  /** Repeats the command until `until` while the target refuses it for want of a free slot. */
  private async askOverLink(
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
      // The target has just accepted the connection.
      if (result.type === "broken") return { type: "alive" };
      const { end } = result.reply;
      if (end.type === "complete") {
        const report = adapter.parseReport(result.reply);
        return report === undefined ? { type: "silent" } : { type: "report", report };
      }
      if (end.code !== "busy") return { type: "silent" };
      if (clock.now() + busyRetryMs >= until) return { type: "alive" };
      await clock.sleep(busyRetryMs);
    }
  }

  /** Opens a connection; the timeout is stretched while connections take long to open. */
  private async open(
    group: string,
    target: AnnouncedTarget,
    usualTimeoutMs: number,
  ): Promise<TargetLink> {
    const longestMs = ResponseTimes.getLongestTimeoutMs(usualTimeoutMs);
    const opening = this.ports.adapter.dialer.open(group, target, longestMs, undefined);
    const link = await this.responseTimes.awaitAnswer(opening, usualTimeoutMs, (late) =>
      late.close(),
    );
    if (link === undefined) throw new LinkError("no connection in time", "unreachable");
    return link;
  }

  private findTarget(group: string, name: string): AnnouncedTarget | undefined {
    return this.ports.listTargets(group).find((target) => target.name === name);
  }

  private logSilent(group: string, target: string, error: unknown): void {
    this.ports.logger.write(nodeEvents.targetUnanswered, { group, target, reason: String(error) });
  }
}
