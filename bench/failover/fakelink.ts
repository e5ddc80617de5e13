import type { Clock, ControlResult } from "../../src/model/index.js";
import type { FakeHost } from "./fakehost.js";

/** What is wrong between one VM and one target. `silent` spares new connections. */
export type LinkFault = "none" | "requestsLost" | "answersLost" | "cut" | "silent";

/** Delays of the network, in milliseconds. */
export interface FakeDelays {
  readonly oneWayMs: number;
  readonly connectMs: number;
}

/** Those of the brief: between data centres, and to open a connection. */
export const defaultDelays: FakeDelays = { oneWayMs: 0.5, connectMs: 12 };

/** The way from one VM to one target. */
export class FakeLink {
  /** Added to each request, as by a slow target. */
  extraMs = 0;
  private fault: LinkFault = "none";
  private connection: "closed" | "open" | "silent" = "closed";

  constructor(
    private readonly clock: Clock,
    private readonly host: FakeHost,
    private readonly delays: FakeDelays,
  ) {}

  setFault(fault: LinkFault): void {
    this.fault = fault === "silent" ? "none" : fault;
    if (fault === "silent" && this.connection === "open") this.connection = "silent";
  }

  /** Carries a request to the host and its answer back, within `timeoutMs`. */
  async send(
    options: { readonly timeoutMs: number; readonly fresh?: boolean },
    work: () => ControlResult | Promise<ControlResult>,
  ): Promise<ControlResult> {
    const answered = new AbortController();
    const timeout = this.clock.sleep(options.timeoutMs, answered.signal).then(
      () => fail("timeout"),
      () => fail("aborted"),
    );
    const result = await Promise.race([this.exchange(options.fresh === true, work), timeout]);
    answered.abort();
    return result;
  }

  private async exchange(
    isFresh: boolean,
    work: () => ControlResult | Promise<ControlResult>,
  ): Promise<ControlResult> {
    if (isFresh) this.connection = "closed";
    if (this.connection === "silent") return waitForever();
    if (this.connection === "closed") await this.clock.sleep(this.delays.connectMs);
    await this.clock.sleep(this.delays.oneWayMs + this.extraMs);
    if (this.fault === "cut" || this.fault === "requestsLost") return waitForever();
    if (this.connection === "closed") this.connection = "open";
    const result = await this.host.run(work);
    await this.clock.sleep(this.delays.oneWayMs);
    if (this.isAnswerLost()) return waitForever();
    if (result !== undefined) return result;
    this.connection = "closed";
    return fail("refused");
  }

  private isAnswerLost(): boolean {
    return this.fault === "cut" || this.fault === "answersLost" || this.connection === "silent";
  }
}

function fail(reason: string): ControlResult {
  return { type: "unreachable", reason };
}

function waitForever(): Promise<never> {
  return new Promise(() => undefined);
}
