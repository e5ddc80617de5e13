import type { Clock, TargetControl, Vm } from "../../src/model/index.js";

/** A VM whose process can be paused: while it is, its timers do not fire and it sees no answers. */
export class FakeVm implements Vm {
  readonly dataCentre = "dc";
  readonly peer = { host: "127.0.0.1", port: 1 };
  readonly state = "live";
  private gate: Promise<void> | undefined;
  private open: () => void = () => undefined;

  constructor(
    readonly name: string,
    private readonly outer: Clock,
    private readonly port: TargetControl,
  ) {}

  pause(): void {
    this.gate ??= new Promise((resolve) => {
      this.open = resolve;
    });
  }

  resume(): void {
    this.gate = undefined;
    this.open();
  }

  readonly clock: Clock = {
    now: () => this.outer.now(),
    sleep: async (ms, signal) => {
      await this.outer.sleep(ms, signal);
      await this.gate;
    },
  };

  get control(): TargetControl {
    const { port } = this;
    return {
      getStatus: (target, options) => this.hold(port.getStatus(target, options)),
      fence: (target, term, timeoutMs) => this.hold(port.fence(target, term, timeoutMs)),
      promote: (target, term, timeoutMs) => this.hold(port.promote(target, term, timeoutMs)),
      follow: (target, primary, term, timeoutMs) =>
        this.hold(port.follow(target, primary, term, timeoutMs)),
    };
  }

  /** Withholds a result while the process is paused. */
  async hold<T>(result: Promise<T>): Promise<T> {
    const value = await result;
    await this.gate;
    return value;
  }
}
