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
const rolloutTries = 200;
const rolloutPauseMs = 100;
const operatorNames = ["op-a", "op-b"] as const;

/**
 * Two operators that edit the rules concurrently. Samples the revisions of the proxies, which must
 * never decrease.
 */
export class Operators {
  /** The value in each operator's rule after its last change; undefined when the result is uncertain. */
  private readonly accepted = new Map<string, number | undefined>();
  private readonly revisions = new WeakMap<Proxy, number>();
  private readonly store: HttpObjectStore;
  private readonly sampler: NodeJS.Timeout;
  private latestRevision = 0;
  private changeCount = 0;

  constructor(private readonly context: SoakContext) {
    const { host, port } = context.fleet.platformLink.address;
    this.store = new HttpObjectStore({ url: `http://${host}:${port}`, timeoutMs: 1000 });
    this.sampler = setInterval(() => {
      this.sampleRevisions();
    }, sampleMs);
  }

  dispose(): void {
    clearInterval(this.sampler);
    this.store.dispose();
  }

  /** Lets both operators change their own rule concurrently, each from the revision that it read. */
  async editRules(random: RandomStream): Promise<void> {
    await sleep(random.nextInteger(0, 1500));
    await Promise.all(operatorNames.map((name) => this.editRule(name)));
  }

  /** Checks that every proxy has the latest accepted revision and that no accepted change was overwritten. */
  async checkRollout(): Promise<void> {
    const { members } = this.context.fleet;
    for (let i = 0; i < rolloutTries; i += 1) {
      if (members.every(({ proxy }) => proxy.report().revision >= this.latestRevision)) break;
      await sleep(rolloutPauseMs);
    }
    for (const { vm, proxy } of members) {
      const { revision } = proxy.report();
      if (revision >= this.latestRevision) continue;
      this.reportBreach(
        `${vm.name} has revision ${revision}, but revision ${this.latestRevision} was accepted`,
      );
    }
    const stored = await this.read();
    if (stored === undefined) return;
    for (const [name, value] of this.accepted) {
      const found = stored.rules.find((r) => r.name === name);
      if (value === undefined || getValue(found) === value) continue;
      this.reportBreach(`the accepted change of rule ${name} to ${value} was overwritten`);
    }
  }

  private async editRule(name: string): Promise<void> {
    const editor = this.createEditor();
    const current = await this.read();
    if (current === undefined) return;
    this.changeCount += 1;
    const value = this.changeCount;
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
        this.latestRevision = Math.max(this.latestRevision, result.revision);
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

  private sampleRevisions(): void {
    for (const { vm, proxy } of this.context.fleet.members) {
      const { revision } = proxy.report();
      const before = this.revisions.get(proxy) ?? 0;
      this.revisions.set(proxy, revision);
      if (revision < before)
        this.reportBreach(`${vm.name} went back from revision ${before} to ${revision}`);
    }
  }

  private reportBreach(description: string): void {
    this.context.reportBreach(description, [...operatorNames, "check"]);
  }
}

/** Sorts rules by name, so that concurrent edits never conflict over the order. */
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
