import type { SoakTeam } from "./site.js";

interface Allowance {
  readonly ratePerMs: number;
  readonly burst: number;
  tokens: number;
  updatedAtMs: number;
}

const msPerSecond = 1000;

/** Which operations lie within their team's rate: those beyond it may be refused. */
export class TeamAllowances {
  private readonly byTeam = new Map<string, Allowance>();

  constructor(teams: readonly SoakTeam[]) {
    for (const { name, ratePerSecond, burst } of teams) {
      if (ratePerSecond === undefined) continue;
      const ratePerMs = ratePerSecond / msPerSecond;
      this.byTeam.set(name, { ratePerMs, burst, tokens: burst, updatedAtMs: 0 });
    }
  }

  /** Counts an operation; false if it is beyond the rate and the burst of its team. */
  take(team: string, atMs: number): boolean {
    const allowance = this.byTeam.get(team);
    if (allowance === undefined) return true;
    const { ratePerMs, burst, updatedAtMs } = allowance;
    const refilled = allowance.tokens + (atMs - updatedAtMs) * ratePerMs;
    allowance.tokens = Math.min(burst, refilled);
    allowance.updatedAtMs = atMs;
    if (allowance.tokens < 1) return false;
    allowance.tokens -= 1;
    return true;
  }
}
