import type { ControlRequest, FailoverEffect, FailoverNote } from "../controller/failover/index.js";
import { failoverEvents } from "../log/events/failover.js";
import type { Clock, ControlResult, Target } from "../model/index.js";
import { logFailoverNote } from "./notes.js";
import { checkThroughPeers } from "./peers.js";
import type { WatchOptions } from "./ports.js";
import type { UntimedEvent } from "./runner.js";
import type { StreamAnswer } from "./stream.js";

/** Receivers of the answers to executed effects. */
export interface EffectHooks {
  readonly apply: (event: UntimedEvent) => void;
  readonly onAnswer: (answer: StreamAnswer) => void;
  readonly onMiss: (target: string, reason: string) => void;
  readonly reconnect: (target: string) => void;
  readonly onNote: (note: FailoverNote, at: number) => void;
}

/** Executes the effects of a group's failover controller through the ports. */
export class EffectRunner {
  constructor(
    private readonly options: WatchOptions,
    private readonly clock: Clock,
    private readonly hooks: EffectHooks,
  ) {}

  execute(effect: FailoverEffect, at: number): void {
    switch (effect.type) {
      case "probe":
        void this.probe(this.getTarget(effect.target), effect.timeoutMs);
        break;
      case "askPeers":
        void this.checkThroughPeers(effect.target, effect.timeoutMs);
        break;
      case "control":
        void this.control(effect.request, effect.timeoutMs);
        break;
      case "renew":
        this.hooks.reconnect(effect.target);
        break;
      case "note":
        logFailoverNote(this.options.log, this.options.group.name, effect.note);
        this.hooks.onNote(effect.note, at);
        break;
    }
  }

  private getTarget(name: string): Target {
    const target = this.options.group.targets.find((t) => t.name === name);
    if (target === undefined)
      throw new Error(`${name} is not a target of group ${this.options.group.name}`);
    return target;
  }

  private async probe(target: Target, timeoutMs: number): Promise<void> {
    const askedAt = this.clock.now();
    const result = await this.options.control.getStatus(target, { timeoutMs, fresh: true });
    if (result.type === "accepted") this.hooks.onAnswer({ status: result.status, askedAt });
    else this.hooks.onMiss(target.name, result.type === "refused" ? "refused" : result.reason);
  }

  private async checkThroughPeers(target: string, timeoutMs: number): Promise<void> {
    const finding = await checkThroughPeers(
      this.options,
      this.options.group.name,
      target,
      timeoutMs,
    );
    this.hooks.apply({ type: "peersAnswered", target, finding });
  }

  private async control(request: ControlRequest, timeoutMs: number): Promise<void> {
    const askedAt = this.clock.now();
    const result = await this.send(request, timeoutMs);
    if (result.type === "refused") {
      this.options.log.write(failoverEvents.refused, {
        group: this.options.group.name,
        request,
        fencedAt: result.fencedAt,
      });
    }
    this.hooks.apply({ type: "controlled", request, askedAt, result });
  }

  private send(request: ControlRequest, timeoutMs: number): Promise<ControlResult> {
    const { control } = this.options;
    const target = this.getTarget(request.target);
    switch (request.type) {
      case "fence":
        return control.fence(target, request.term, timeoutMs);
      case "promote":
        return control.promote(target, request.term, timeoutMs);
      case "follow":
        return control.follow(target, this.getTarget(request.primary), request.term, timeoutMs);
    }
  }
}
