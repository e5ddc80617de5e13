import type { ControlRequest, FailoverEffect, FailoverNote } from "../controller/failover/index.js";
import { failoverEvents } from "../log/events/failover.js";
import type { Clock, ControlResult, Target } from "../model/index.js";
import { logNote } from "./notes.js";
import { askPeers } from "./peers.js";
import type { WatchOptions } from "./ports.js";
import type { BareEvent } from "./runner.js";
import type { StreamAnswer } from "./stream.js";

/** What becomes of the effects' answers. */
export interface EffectHooks {
  readonly apply: (event: BareEvent) => void;
  readonly onAnswer: (answer: StreamAnswer) => void;
  readonly onMiss: (target: string, reason: string) => void;
  readonly renew: (target: string) => void;
  readonly onNote: (note: FailoverNote, at: number) => void;
}

/** Does at the ports what the controller of a group asks for. */
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
        void this.askPeers(effect.target, effect.timeoutMs);
        break;
      case "control":
        void this.control(effect.request, effect.timeoutMs);
        break;
      case "renew":
        this.hooks.renew(effect.target);
        break;
      case "note":
        logNote(this.options.log, this.options.group.name, effect.note);
        this.hooks.onNote(effect.note, at);
        break;
    }
  }

  private getTarget(name: string): Target {
    const target = this.options.group.targets.find((t) => t.name === name);
    if (target === undefined) throw new Error(`${name} is no target of the group`);
    return target;
  }

  private async probe(target: Target, timeoutMs: number): Promise<void> {
    const askedAt = this.clock.now();
    const result = await this.options.control.getStatus(target, { timeoutMs, fresh: true });
    if (result.type === "accepted") this.hooks.onAnswer({ status: result.status, askedAt });
    else this.hooks.onMiss(target.name, result.type === "refused" ? "refused" : result.reason);
  }

  private async askPeers(target: string, timeoutMs: number): Promise<void> {
    const finding = await askPeers(this.options, this.options.group.name, target, timeoutMs);
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
