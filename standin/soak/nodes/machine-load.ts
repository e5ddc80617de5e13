import { readFileSync } from "node:fs";

/** What the processors of the machine did over a while, as shares of their time. */
export interface MachineLoad {
  readonly busyShare: number;
  /** What a hypervisor gave to other machines while something was ready to run here. */
  readonly stolenShare: number;
}

interface ProcessorTimes {
  readonly total: number;
  readonly idle: number;
  readonly stolen: number;
}

/** Measures the load of the machine from its creation on. */
export class MachineLoadMonitor {
  private readonly start = readTimes();

  measure(): MachineLoad {
    const end = readTimes();
    const total = Math.max(1, end.total - this.start.total);
    const stolenShare = (end.stolen - this.start.stolen) / total;
    const idleShare = (end.idle - this.start.idle) / total;
    return { busyShare: round(1 - idleShare - stolenShare), stolenShare: round(stolenShare) };
  }
}

/** Reads the first line of `/proc/stat`: user, nice, system, idle, iowait, irq, softirq, steal. */
function readTimes(): ProcessorTimes {
  const [line = ""] = readFileSync("/proc/stat", "utf8").split("\n");
  const times = line.split(/\s+/).slice(1, 9).map(Number);
  const [, , , idle = 0, waiting = 0, , , stolen = 0] = times;
  return { total: times.reduce((sum, time) => sum + time, 0), idle: idle + waiting, stolen };
}

function round(share: number): number {
  return Math.round(share * 1000) / 1000;
}
