import { expect } from "@jest/globals";
import { FakeFleet, type FleetOptions } from "../../bench/failover/fakefleet.js";
import { VirtualClock } from "../../bench/failover/virtualclock.js";

/** Longer than any failover that can succeed. */
export const maxFailoverMs = 5000;

/** A simulated fleet and database group on a virtual clock. */
export class FailoverScenario {
  readonly clock = new VirtualClock();
  readonly fleet: FakeFleet;
  private written = 0;

  constructor(options: Partial<FleetOptions> = {}) {
    this.fleet = new FakeFleet({ clock: this.clock, seed: 1, ...options });
  }

  get group() {
    return this.fleet.group;
  }

  primary(vm = "v1"): string | undefined {
    return this.fleet.watch(vm).getView().primary?.target;
  }

  /** Advances the clock until a VM knows a primary other than `except`. */
  async findPrimary(vm = "v1", except?: string): Promise<string> {
    await this.clock.advance(maxFailoverMs, () => {
      const primary = this.primary(vm);
      return primary !== undefined && primary !== except;
    });
    const primary = this.primary(vm);
    expect(primary).toBeDefined();
    expect(primary).not.toBe(except);
    return primary ?? "";
  }

  /** Writes through a VM and advances the clock until the caller has its answer. */
  async write(vm = "v1", mode: "replicated" | "witnessed" = "replicated", timeoutMs = 1000) {
    const answer: { value?: string } = {};
    this.written += 1;
    const writing = this.fleet.write(vm, `w${this.written}`, mode, timeoutMs);
    void writing.then((value) => (answer.value = value));
    await this.clock.advance(maxFailoverMs, () => answer.value !== undefined);
    return answer.value;
  }

  /** Waits until the first primary is known and its replicas follow it; returns the primary. */
  async waitUntilSteady(): Promise<string> {
    const primary = await this.findPrimary();
    expect(await this.write()).toBe("acknowledged");
    return primary;
  }

  /** Ends the scenario and expects that no invariant was violated. */
  async end(): Promise<void> {
    const { violations } = this.fleet;
    await this.fleet.dispose();
    expect(violations).toEqual([]);
  }
}
