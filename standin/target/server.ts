import type { Address, Target } from "../../src/model/index.js";
import type { Services } from "./execution.js";
import { ControlFunctions } from "./control.js";
import { Faults } from "./faults.js";
import { ReplicationLink } from "./replication-link.js";
import { Listener } from "./listener.js";
import { Member, type FollowedPrimary } from "./member.js";
import { Slots } from "./slots.js";
import { loadParser } from "./sql/index.js";
import { StatementHistory } from "./statement.js";
import { applyFault } from "./fault-control.js";

/** Options of one stand-in target. */
export interface StandinTargetOptions {
  readonly name: string;
  readonly dataCentre?: string;
  /** Default 127.0.0.1. */
  readonly host?: string;
  /** Default 0: a free port, which is kept after a restart. */
  readonly port?: number;
  /** Maximum number of statements executed at once. Default 5. */
  readonly slots?: number;
  /** Maximum number of ordinary connections. Default 55. */
  readonly connections?: number;
  /** Time to set up a connection, in milliseconds. Default 12. */
  readonly connectMs?: number;
  /** Time that a statement holds its slot, in milliseconds. Default 1. */
  readonly serviceMs?: number;
  /** Replication lag while it is a replica, in milliseconds. Default 0. */
  readonly lagMs?: number;
}

const defaults = {
  dataCentre: "standin",
  host: "127.0.0.1",
  port: 0,
  slots: 5,
  connections: 55,
  connectMs: 12,
  serviceMs: 1,
  lagMs: 0,
} as const;

/**
 * An in-process target of a database group: it speaks the PostgreSQL protocol and has terms, a
 * replicated log, slots, a connection limit and fault injection. It starts as primary of the first
 * term; `member.follow` makes it a replica.
 */
export class StandinTarget {
  readonly member: Member;
  readonly faults = new Faults();
  readonly statements = new StatementHistory();
  readonly slots: Slots;
  private readonly options: Required<StandinTargetOptions>;
  private readonly listener: Listener;
  private link: { readonly primary: FollowedPrimary; readonly link: ReplicationLink } | undefined;
  private lag: number;

  constructor(options: StandinTargetOptions) {
    this.options = { ...defaults, ...options };
    const { name, slots, lagMs, host, port, connections, connectMs } = this.options;
    this.member = new Member(name);
    this.slots = new Slots(slots);
    this.lag = lagMs;
    this.listener = new Listener(this.buildServices(), { host, port }, connections, connectMs);
    this.member.subscribe(() => this.updateLink());
  }

  get name(): string {
    return this.options.name;
  }

  /** The address it listens on; the port is known once it has started. */
  get address(): Address {
    return this.listener.address;
  }

  /** The target's description as the platform lists it. */
  get target(): Target {
    const { name, dataCentre, slots, connections } = this.options;
    return { name, dataCentre, address: this.address, slots, connections };
  }

  /** Number of open connections, without control and replication connections. */
  get connections(): number {
    return this.listener.connectionCount;
  }

  get lagMs(): number {
    return this.lag;
  }

  /** Sets the replication lag in milliseconds, also for records that are already delayed. */
  setLag(ms: number): void {
    this.lag = ms;
    this.link?.link.update();
  }

  /** Starts listening, also again after `kill`; log, role and fence are kept. */
  async start(): Promise<void> {
    await loadParser();
    await this.listener.start();
    this.updateLink();
  }

  /** Simulates a crash: drops all connections, refuses new ones, ends faults. The log is kept. */
  async kill(): Promise<void> {
    const stopped = this.listener.stop();
    this.dropLink();
    this.faults.endAll();
    await stopped;
  }

  /** Stops all output on the open ordinary connections permanently; new ones work. */
  silenceConnections(): void {
    this.listener.silenceConnections();
  }

  async dispose(): Promise<void> {
    await this.kill();
  }

  private buildServices(): Services {
    const { member, slots, faults, statements: history } = this;
    const control = new ControlFunctions(member, history, {
      fault: ([name, value]) => applyFault(this, String(name), Number(value ?? 0)),
      load: () => ({
        busy: slots.busy,
        waiting: slots.waiting,
        connections: this.connections,
      }),
    });
    return { member, slots, faults, history, control, serviceMs: this.options.serviceMs };
  }

  /** Opens or closes the replication link as role and fence require. */
  private updateLink(): void {
    const wanted = this.listener.isListening ? this.member.followedPrimary : undefined;
    if (this.link?.primary !== wanted) this.dropLink();
    if (this.link !== undefined && !this.member.canCopyFrom(this.link.primary)) this.dropLink();
    if (this.link !== undefined || wanted === undefined || !this.member.canCopyFrom(wanted)) return;
    this.link = {
      primary: wanted,
      link: new ReplicationLink(this.member, wanted, this.faults, () => this.lag),
    };
  }

  private dropLink(): void {
    this.link?.link.stop();
    this.link = undefined;
  }
}
