/** The time over which requests are counted, in milliseconds. */
const windowMs = 1000;
/**
 * Limits the requests of this process that bring no tokens. When many teams run out at once, as after a loss of
 * power, all proxies would otherwise spend their time on asking each other for tokens that nobody has. Requests that
 * bring tokens are not limited: each lets operations run that would be refused although their team is within its rate.
 */
const maxRequestsPerSecond = 120;
/**
 * The most of these for one team. A team that asks for more than its rate would otherwise use up all requests of
 * the process, and teams within their rates would be refused.
 */
const maxTeamRequestsPerSecond = 40;

/**
 * Counts the requests for tokens that this process sends and that have not brought any. Times are on its clock, in
 * milliseconds.
 */
export class RequestBudget {
  private windowStart = -Infinity;
  private total = 0;
  private readonly byTeam = new Map<string, number>();

  /** Whether tokens of a team may be requested now. */
  canRequest(team: string, now: number): boolean {
    this.startWindow(now);
    const ofTeam = this.byTeam.get(team) ?? 0;
    return this.total < maxRequestsPerSecond && ofTeam < maxTeamRequestsPerSecond;
  }

  /** Records that a request for tokens of a team was sent. */
  recordRequest(team: string, now: number): void {
    this.startWindow(now);
    this.total += 1;
    this.byTeam.set(team, (this.byTeam.get(team) ?? 0) + 1);
  }

  /**
   * Stops counting a request that brought tokens. One sent at `requestedAt` in an earlier window is not counted any
   * more; a request of the current window would lose its count instead.
   */
  recordGrant(team: string, requestedAt: number, now: number): void {
    this.startWindow(now);
    if (requestedAt < this.windowStart) return;
    const ofTeam = this.byTeam.get(team) ?? 0;
    if (ofTeam === 0) return;
    this.total -= 1;
    this.byTeam.set(team, ofTeam - 1);
  }

  private startWindow(now: number): void {
    if (now - this.windowStart < windowMs) return;
    this.windowStart = now;
    this.total = 0;
    this.byTeam.clear();
  }
}
