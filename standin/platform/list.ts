import type { Vm } from "../../src/model/index.js";

/** The platform's list of VMs, which can be read as it was some time ago. */
export class LaggingList {
  private readonly history: { readonly since: number; readonly vms: readonly Vm[] }[] = [];

  set(vms: readonly Vm[]): void {
    this.history.push({ since: performance.now(), vms });
  }

  /** Returns the list as it was `lagMs` ago, or the first one when it is newer than that. */
  get(lagMs: number): readonly Vm[] {
    const at = performance.now() - lagMs;
    const [first] = this.history;
    return (this.history.findLast((h) => h.since <= at) ?? first)?.vms ?? [];
  }
}
