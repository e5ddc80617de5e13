import { setTimeout as sleep } from "node:timers/promises";
import type { Draft } from "../../src/controller/configuration/index.js";
import { ConfigurationEditor } from "../../src/fleet/index.js";
import type { Configuration, Rule } from "../../src/model/index.js";
import { HttpObjectStore } from "../../src/platform/index.js";
import type { Proxy } from "../../src/proxy/index.js";
import { createSystemClock, createSystemRandom } from "../../src/system/index.js";
import type { SoakContext } from "./context.js";
import type { RandomStream } from "./random.js";

const sampleMs = 40;
const spreadTries = 200;
const spreadPauseMs = 100;
const operatorNames = ["op-a", "op-b"] as const;

/** Two operators who edit the rules at the same moments, and a watch over what proxies have. */
export class Operators {
  /** The rule's value after each operator's last change; undefined when that is not known. */
  private readonly accepted = new Map<string, number | undefined>();
  private readonly revisions = new WeakMap<Proxy, number>();
  private readonly store: HttpObjectStore;
  private readonly sampler: NodeJS.Timeout;
  private greatest = 0;
  private changes = 0;

  constructor(private readonly context: SoakContext) {
    const { host, port } = context.fleet.platformLink.address;
    this.store = new HttpObjectStore({ url: `http://${host}:${port}`, timeoutMs: 1000 });
    this.sampler = setInterval(() => {
      this.sample();
    }, sampleMs);
  }

  dispose(): void {
    clearInterval(this.sampler);
    this.store.dispose();
  }

  /** Both operators change their rules at once, each from what it read. */
  async editRules(draw: RandomStream): Promise<void> {
    await sleep(draw.nextInteger(0, 1500));
    await Promise.all(operatorNames.map((name) => this.editOne(name)));
  }

  /** Checks that what was accepted is in force on every proxy, and nothing else came over it. */
  async checkRollout(): Promise<void> {
    const { members } = this.context.fleet;
    for (let i = 0; i < spreadTries; i += 1) {
      if (members.every(({ proxy }) => proxy.report().revision >= this.greatest)) break;
      await sleep(spreadPauseMs);
    }
    for (const { vm, proxy } of members) {
      const { revision } = proxy.report();
      if (revision >= this.greatest) continue;
      this.breach(`${vm.name} has revision ${revision}, accepted is ${this.greatest}`);
    }
    const stored = await this.read();
    if (stored === undefined) return;
    for (const [name, value] of this.accepted) {
      const found = stored.rules.find((r) => r.name === name);
      if (value === undefined || getValue(found) === value) continue;
      this.breach(`the accepted change of ${name} to ${value} is gone`);
    }
  }

  private async editOne(name: string): Promise<void> {
    const editor = this.createEditor();
    const current = await this.read();
    if (current === undefined) return;
    this.changes += 1;
    const value = this.changes;
    const rules = [...current.rules.filter((r) => r.name !== name), buildRule(name, value)];
    const draft: Draft = { teams: current.teams, rules: sortRules(rules) };
    const change = { changeId: `${name}-${value}`, draft };
    this.context.trace.record(name, `sets ${value} from revision ${current.revision}`);
    const result = await editor.apply(change, current.revision);
    this.context.trace.record(name, JSON.stringify(result));
    this.context.counts.add("edits", result.type);
    switch (result.type) {
      case "applied":
        this.accepted.set(name, value);
        this.greatest = Math.max(this.greatest, result.revision);
        return;
      case "uncertain":
        this.accepted.set(name, undefined);
        return;
      case "unchanged":
      case "conflict":
      case "baseUnknown":
      case "unavailable":
      case "faulty":
        return;
    }
  }

  private async read(): Promise<Configuration | undefined> {
    const read = await this.createEditor().readCurrent();
    return read.type === "read" ? read.stored : undefined;
  }

  private createEditor(): ConfigurationEditor {
    return new ConfigurationEditor({
      store: this.store,
      clock: createSystemClock(),
      random: createSystemRandom(),
    });
  }

  private sample(): void {
    for (const { vm, proxy } of this.context.fleet.members) {
      const { revision } = proxy.report();
      const before = this.revisions.get(proxy) ?? 0;
      this.revisions.set(proxy, revision);
      if (revision < before) this.breach(`${vm.name} went from revision ${before} to ${revision}`);
    }
  }

  private breach(what: string): void {
    this.context.reportBreach({ description: what, subjects: [...operatorNames, "check"] });
  }
}

/** Operators keep their rules in one order, so that two of them never dispute about it. */
function sortRules(rules: readonly Rule[]): readonly Rule[] {
  return [...rules].sort((a, b) => (a.name < b.name ? -1 : 1));
}

function buildRule(name: string, value: number): Rule {
  return {
    name,
    when: { kinds: [`of-${name}`] },
    then: { type: "refuse", retryAfterMs: value, reason: "closed by an operator" },
  };
}

function getValue(rule: Rule | undefined): number | undefined {
  return rule?.then.type === "refuse" ? rule.then.retryAfterMs : undefined;
}
