import { setTimeout as sleep } from "node:timers/promises";
import type { Disposable } from "../../../src/model/index.js";
import type { RandomStream } from "../random.js";
import type { Balancer, BalancedNode } from "./balancer.js";
import { LineClient, type OpenFailure } from "./line-client.js";
import { TeamAllowances } from "./allowances.js";
import { runOperation, type ToldWrite } from "./operation.js";
import { findRegion, formatDatabase, formatKey, type SoakKind, type SoakSite } from "./site.js";
import type { OperationResult } from "./tally.js";

/** Dependencies of a `Load`. */
export interface LoadOptions {
  readonly site: SoakSite;
  readonly nodes: readonly BalancedNode[];
  readonly balancer: Balancer;
  readonly random: RandomStream;
  /** The factor by which the site's traffic is multiplied. */
  readonly scale: number;
}

/** A time in which a kind of operation is asked for more often. */
export interface Burst {
  readonly kind: string;
  readonly factor: number;
  readonly forMs: number;
}

/** A time in which a share of the callers of a zone come to the nodes of another one. */
export interface CallerShift {
  readonly fromZone: string;
  readonly toZone: string;
  readonly share: number;
  readonly forMs: number;
}

/** A session that stands open and is used for one operation after another. */
interface StandingSession {
  readonly caller: number;
  readonly zone: string;
  readonly kind: string;
  readonly group: number;
  readonly team: string;
  client: LineClient | undefined;
  isBusy: boolean;
}

const openTimeoutMs = 2000;
const tickMs = 5;
const msPerSecond = 1000;
const resolution = 1_000_000;
/** Half of the operations use a session that stands open, the others one of their own. */
const standingPercent = 50;
const percent = 100;

/** The callers of a site: operations arrive at its rates, whatever becomes of the earlier ones. */
export class Load implements Disposable {
  readonly results: OperationResult[] = [];
  readonly writes: ToldWrite[] = [];
  private readonly sessions: StandingSession[] = [];
  private timer: NodeJS.Timeout | undefined;
  private startedAt = 0;
  private nextId = 0;
  private pending = 0;
  private readonly due: number[];
  private readonly bursts = new Set<Burst>();
  private readonly shifts = new Set<CallerShift>();
  private readonly allowances: TeamAllowances;

  constructor(private readonly options: LoadOptions) {
    this.allowances = new TeamAllowances(options.site.teams);
    this.due = options.site.kinds.map(() => 0);
    for (const zone of options.site.zones) this.addSessions(zone);
  }

  start(): void {
    this.startedAt = performance.now();
    let last = this.startedAt;
    this.timer = setInterval(() => {
      const now = performance.now();
      this.startDue((now - last) / msPerSecond);
      last = now;
    }, tickMs);
  }

  /** Multiplies the rate of a kind for a while; the factors of bursts that overlap are multiplied. */
  async burst(burst: Burst): Promise<void> {
    this.bursts.add(burst);
    await sleep(burst.forMs);
    this.bursts.delete(burst);
  }

  /** Moves callers for a while; their sessions that stand open stay where they are. */
  async shift(shift: CallerShift): Promise<void> {
    this.shifts.add(shift);
    await sleep(shift.forMs);
    this.shifts.delete(shift);
  }

  /** The time since traffic started, in milliseconds. */
  get elapsedMs(): number {
    return performance.now() - this.startedAt;
  }

  /** Starts no more operations, and waits for those that run. */
  async finish(): Promise<void> {
    clearInterval(this.timer);
    while (this.pending > 0) await sleep(tickMs);
  }

  dispose(): void {
    clearInterval(this.timer);
    for (const { client } of this.sessions) client?.close();
  }

  private addSessions(zone: string): void {
    const { site, random } = this.options;
    for (let i = 0; i < site.sessionsPerZone; i += 1) {
      const { name: kind } = random.pick(site.kinds);
      const group = random.nextInteger(0, site.groups - 1);
      const caller = this.sessions.length;
      const team = this.pickTeam();
      this.sessions.push({ caller, zone, kind, group, team, client: undefined, isBusy: false });
    }
  }

  private startDue(seconds: number): void {
    const { site, random, scale } = this.options;
    for (const [index, kind] of site.kinds.entries()) {
      const due = (this.due[index] ?? 0) + this.computeRate(kind) * scale * seconds;
      const whole = Math.floor(due);
      this.due[index] = due - whole;
      for (let i = 0; i < whole; i += 1) void this.run(kind, random.pick(site.zones));
    }
  }

  private computeRate({ name, perSecond }: SoakKind): number {
    const bursts = [...this.bursts].filter(({ kind }) => kind === name);
    return bursts.reduce((rate, { factor }) => rate * factor, perSecond);
  }

  private async run(kind: SoakKind, zone: string): Promise<void> {
    this.pending += 1;
    const { site, random } = this.options;
    const atMs = this.elapsedMs;
    const team = this.pickTeam();
    const isOwed = this.allowances.take(team, atMs);
    const isStanding = random.nextInteger(0, percent - 1) < standingPercent;
    const session = isStanding ? this.findSession(kind.name, zone, team) : undefined;
    if (session !== undefined) session.isBusy = true;
    const group = session?.group ?? random.nextInteger(0, site.groups - 1);
    const caller = session?.caller ?? random.nextInteger(0, resolution);
    let own: LineClient | undefined;
    const end = await runOperation({
      kind,
      retries: site.retries,
      random,
      createId: () => this.createId(),
      open: async (attempt) => {
        if (session?.client?.isUsable === true && attempt === 0) return session.client;
        const node = this.options.balancer.choose(this.findEntryZone(zone), caller, attempt);
        const opened = await this.open(node, formatDatabase(kind.name, group), team);
        if ("reason" in opened) return opened;
        if (session === undefined) own?.close();
        else session.client?.close();
        if (session === undefined) own = opened;
        else session.client = opened;
        return opened;
      },
    });
    own?.close();
    if (session !== undefined) session.isBusy = false;
    const { outcome, reason } = end;
    const region = findRegion(site, zone);
    const { name, worth, lateWorth } = kind;
    const asked = { kind: name, zone, region, team, atMs, isOwed, worth, lateWorth };
    this.results.push({ ...asked, outcome, reason });
    this.writes.push(...end.writes);
    this.pending -= 1;
  }

  /** The zone whose nodes a caller of this zone comes to now. */
  private findEntryZone(zone: string): string {
    const { random } = this.options;
    const shift = [...this.shifts].find(({ fromZone }) => fromZone === zone);
    return shift !== undefined && random.chance(shift.share) ? shift.toZone : zone;
  }

  private open(node: number, database: string, team: string): Promise<LineClient | OpenFailure> {
    const address = this.options.nodes[node]?.callers;
    if (address === undefined) return Promise.resolve({ reason: "no node" });
    return LineClient.open(node, address, database, formatKey(team), openTimeoutMs);
  }

  private findSession(kind: string, zone: string, team: string): StandingSession | undefined {
    return this.sessions.find(
      (s) => !s.isBusy && s.kind === kind && s.zone === zone && s.team === team,
    );
  }

  private pickTeam(): string {
    const { site, random } = this.options;
    const total = site.teams.reduce((sum, { weight }) => sum + weight, 0);
    let drawn = (random.nextInteger(0, resolution - 1) / resolution) * total;
    for (const { name, weight } of site.teams) {
      drawn -= weight;
      if (drawn < 0) return name;
    }
    return "anyone";
  }

  private createId(): string {
    this.nextId += 1;
    return this.nextId.toString(16).padStart(8, "0");
  }
}
