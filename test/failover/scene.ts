import { expect } from "@jest/globals";
import { FakeFleet, type FleetOptions } from "../../bench/failover/fakefleet.js";
import { VirtualClock } from "../../bench/failover/virtualclock.js";

/** Longer than any failover that can succeed. */
export const longMs = 5000;

/** A fleet on a virtual clock. */
export class Scene {
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

  /** Lets time pass until a VM knows a primary other than `not`. */
  async findPrimary(vm = "v1", not?: string): Promise<string> {
    await this.clock.advance(longMs, () => {
      const primary = this.primary(vm);
      return primary !== undefined && primary !== not;
    });
    const primary = this.primary(vm);
    expect(primary).toBeDefined();
    expect(primary).not.toBe(not);
    return primary ?? "";
  }

  /** Writes through a VM and lets time pass until the caller has its answer. */
  async write(vm = "v1", mode: "replicated" | "witnessed" = "replicated", timeoutMs = 1000) {
    const answer: { value?: string } = {};
    this.written += 1;
    const writing = this.fleet.write(vm, `w${this.written}`, mode, timeoutMs);
    void writing.then((value) => (answer.value = value));
    await this.clock.advance(longMs, () => answer.value !== undefined);
    return answer.value;
  }

  /** A group whose first primary has been found and whose replicas follow it. */
  async settle(): Promise<string> {
    const primary = await this.findPrimary();
    expect(await this.write()).toBe("acknowledged");
    return primary;
  }

  /** Ends the scene; nothing that must hold was broken. */
  async end(): Promise<void> {
    const { violations } = this.fleet;
    await this.fleet.dispose();
    expect(violations).toEqual([]);
  }
}
