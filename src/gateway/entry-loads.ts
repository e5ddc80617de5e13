import { listLevels, type ServingConfig } from "../direct/index.js";
import { gatewayEvents } from "../log/events/gateway.js";
import type { Logger } from "../log/index.js";
import type { Clock, Random } from "../model/index.js";
import type { GatewayLoad } from "../peer/gen/radishwalk/direct/v1/gateway_pb.js";
import { orderByLoad, type LoadCandidate } from "./load-choice.js";
import { decodeLoad } from "./load-codec.js";
import type { LoadRole } from "./load-figures.js";
import { decideByLoad, noteSent, type ClosedLevel } from "./load-refusal.js";
import { findReportFault, LoadTable, maxLoadAgeMs } from "./load-table.js";

/** The environment of an `EntryLoads`. */
export interface EntryLoadsPorts {
  readonly clock: Pick<Clock, "now">;
  readonly random: Random;
  readonly logger: Logger;
  /** Whether one gateway plans the slots of a target for the whole fleet; otherwise reports play no part. */
  readonly isSlotPlanned: () => boolean;
  readonly getServingConfig: () => Pick<ServingConfig, "databases">;
  /** Whether a proxy holds connections to a group's targets, as far as this process knows. */
  readonly isGateway: (group: string, vm: string) => boolean;
  /** Called for each statement that is refused by the reports. */
  readonly onRefused: (group: string, level: number) => void;
}

/** The attributes of a statement that reports decide about. */
export interface LoadedStatement {
  readonly group: string;
  readonly role: LoadRole;
  readonly level: number | undefined;
}

/** A statement is refused at its entry node, as all its gateways would refuse its level. Nothing has run. */
export interface EntryRefusal {
  readonly level: number | undefined;
  readonly retryAfterMs: number;
}

/** The shortest time between two lines about one level that closes and opens, in milliseconds. */
const minLineIntervalMs = 1000;

interface LoggedState {
  readonly isClosed: boolean;
  readonly at: number;
}

/** The load reports that this process has as an entry node, and its decisions by them. */
export class EntryLoads {
  private readonly table = new LoadTable();
  private readonly closed = new Map<string, ClosedLevel>();
  /** The levels of which a line says that they closed or opened. */
  private readonly logged = new Map<string, LoggedState>();
  /** When a gateway without a report was last sent a statement to get one. */
  private readonly probedAt = new Map<string, Map<string, number>>();
  /** Gateways of which a line names an invalid report, until their connections end. */
  private readonly faulty = new Set<string>();
  private levels: { readonly config: object; readonly first: number | undefined } | undefined;

  constructor(private readonly ports: EntryLoadsPorts) {}

  /** Whether reports are kept and decide. */
  get isActive(): boolean {
    return this.ports.isSlotPlanned();
  }

  /** Keeps a gateway's report, unless it is invalid or the gateway does not serve the group any more. */
  record(vm: string, load: GatewayLoad): void {
    if (!this.isActive) {
      this.table.clear();
      return;
    }
    const report = decodeLoad(load);
    if (report === undefined) return;
    const fault = findReportFault(report);
    const { group } = report;
    if (fault !== undefined) {
      if (this.faulty.has(vm)) return;
      this.faulty.add(vm);
      this.ports.logger.write(gatewayEvents.loadReportInvalid, {
        gateway: vm,
        group,
        reason: fault,
      });
    } else if (this.ports.isGateway(group, vm)) {
      this.table.record(vm, report, this.ports.clock.now());
    } else this.table.forgetGroup(vm, group);
  }

  /** Drops the reports of a gateway. */
  forget(vm: string): void {
    this.table.forget(vm);
    this.probedAt.delete(vm);
    this.faulty.delete(vm);
  }

  /** Orders a statement's gateways by their load. `describe` gives what is known of a gateway besides its load. */
  order<T>(
    statement: LoadedStatement,
    destinations: readonly T[],
    describe: (destination: T) => Omit<LoadCandidate, "load">,
  ): readonly T[] {
    if (!this.isActive || destinations.length < 2) return destinations;
    const { random } = this.ports;
    const candidates = this.addLoads(statement, destinations.map(describe));
    const paired = candidates.map((c, i) => ({ ...c, index: i }));
    const draw = () => random.draw();
    const isDue = (vm: string) => this.beginProbe(vm, `${statement.role} ${statement.group}`);
    return orderByLoad(paired, statement.level, draw, isDue).flatMap(
      ({ index }) => destinations[index] ?? [],
    );
  }

  /** Refuses a statement whose gateways would all refuse it; undefined when it is to be sent. */
  findRefusal(
    statement: LoadedStatement,
    gateways: readonly Omit<LoadCandidate, "load">[],
  ): EntryRefusal | undefined {
    if (!this.isActive) return undefined;
    const { group, role, level } = statement;
    const key = `${role} ${level} ${group}`;
    const candidates = this.addLoads(statement, gateways);
    const query = { level, mostImportant: this.findMostImportant() };
    const now = this.ports.clock.now();
    const draw = () => this.ports.random.draw();
    const verdict = decideByLoad(candidates, query, this.closed.get(key), now, draw);
    this.noteState(key, statement, verdict.type !== "send", now);
    switch (verdict.type) {
      case "send": {
        const kept = noteSent(this.closed.get(key), now);
        if (kept === undefined) this.closed.delete(key);
        else this.closed.set(key, kept);
        return undefined;
      }
      case "probe":
        this.closed.set(key, verdict.closed);
        return undefined;
      case "refuse":
        this.closed.set(key, verdict.closed);
        if (level !== undefined) this.ports.onRefused(group, level);
        return { level, retryAfterMs: verdict.retryAfterMs };
    }
  }

  private addLoads(
    { group, role }: LoadedStatement,
    gateways: readonly Omit<LoadCandidate, "load">[],
  ): readonly LoadCandidate[] {
    const now = this.ports.clock.now();
    return gateways.map((c) => ({ ...c, load: this.table.find(c.vm, group, role, now) }));
  }

  /** Whether a gateway without a report gets a statement now: one for as long as its report would be valid. */
  private beginProbe(vm: string, key: string): boolean {
    const now = this.ports.clock.now();
    const probes = this.probedAt.get(vm) ?? new Map<string, number>();
    if (now - (probes.get(key) ?? -Infinity) < maxLoadAgeMs) return false;
    this.probedAt.set(vm, probes.set(key, now));
    return true;
  }

  /** Logs that a level closed or opened, where the last line is old enough. */
  private noteState(key: string, statement: LoadedStatement, isClosed: boolean, now: number): void {
    const last = this.logged.get(key);
    if ((last?.isClosed ?? false) === isClosed) return;
    if (last !== undefined && now - last.at < minLineIntervalMs) return;
    this.logged.set(key, { isClosed, at: now });
    const { group, role, level = 0 } = statement;
    const event = isClosed ? gatewayEvents.levelClosed : gatewayEvents.levelOpened;
    this.ports.logger.write(event, { group, role, level });
  }

  /** The most important level of the configuration. Kept, as the configuration seldom changes. */
  private findMostImportant(): number | undefined {
    const config = this.ports.getServingConfig();
    if (this.levels?.config !== config) this.levels = { config, first: listLevels(config)[0] };
    return this.levels.first;
  }
}
