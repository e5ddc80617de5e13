import { readFileSync } from "node:fs";
import type { Disposable } from "../../../src/model/index.js";

/** A process whose use of the processor is limited. */
export interface LimitedProcess {
  /** Its id; undefined while it does not run. */
  readonly id: number | undefined;
  /** Suspends the process, until the function that is returned is called. */
  suspend(): () => void;
}

const windowMs = 100;
const checkMs = 5;
const nsPerMs = 1_000_000;

/**
 * Gives each process a share of a core as a quota: within each tenth of a second it runs at full speed until its
 * share is used up, and then not at all.
 */
export class ProcessorShare implements Disposable {
  private readonly timer: NodeJS.Timeout;
  private windowEndsAt = 0;
  private readonly usedBefore = new Map<LimitedProcess, number>();
  private readonly suspended = new Map<LimitedProcess, () => void>();

  constructor(
    private readonly processes: readonly LimitedProcess[],
    private readonly cores: number,
  ) {
    this.timer = setInterval(() => this.check(), checkMs);
  }

  dispose(): void {
    clearInterval(this.timer);
    this.resumeAll();
  }

  private check(): void {
    if (performance.now() >= this.windowEndsAt) this.startWindow();
    for (const process of this.processes) {
      if (this.suspended.has(process)) continue;
      const usedMs = measureUsedMs(process.id) - (this.usedBefore.get(process) ?? 0);
      if (usedMs >= this.cores * windowMs) this.suspended.set(process, process.suspend());
    }
  }

  private startWindow(): void {
    this.windowEndsAt = performance.now() + windowMs;
    this.resumeAll();
    for (const process of this.processes) this.usedBefore.set(process, measureUsedMs(process.id));
  }

  private resumeAll(): void {
    for (const resume of this.suspended.values()) resume();
    this.suspended.clear();
  }
}

/** The processor time of a process's main thread, in milliseconds; 0 if it has ended. */
function measureUsedMs(id: number | undefined): number {
  if (id === undefined) return 0;
  try {
    const [usedNs = "0"] = readFileSync(`/proc/${id}/schedstat`, "utf8").split(" ");
    return Number(usedNs) / nsPerMs;
  } catch {
    return 0;
  }
}
