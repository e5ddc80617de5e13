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

/** How one stand-in target behaves. */
export interface StandinTargetOptions {
  readonly name: string;
  readonly dataCentre?: string;
  /** Default 127.0.0.1. */
  readonly host?: string;
  /** Default 0: any free port, the same one after a restart. */
  readonly port?: number;
  /** Statements worked on at once. Default 5. */
  readonly slots?: number;
  /** Ordinary connections at once. Default 55. */
  readonly connections?: number;
  /** Time to set up a connection, in milliseconds. Default 12. */
  readonly connectMs?: number;
  /** Time a statement holds its slot, in milliseconds. Default 1. */
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
 * A database group's target in this process: the PostgreSQL protocol, terms, a log with
 * replication, slots, limited connections and switches for faults. It starts as primary of the
 * first term; `member.follow` makes it a replica.
 */
export class StandinTarget {
  readonly member: Member;
  readonly faults = new Faults();
  readonly statements = new StatementHistory();
  readonly slots: Slots;
  private readonly options: Required<StandinTargetOptions>;
  private readonly listener: Listener;
  private link: { readonly of: FollowedPrimary; readonly link: ReplicationLink } | undefined;
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

  /** Where it listens; the port is known once it has started. */
  get address(): Address {
    return this.listener.address;
  }

  /** What the platform says of it. */
  get target(): Target {
    const { name, dataCentre, slots, connections } = this.options;
    return { name, dataCentre, address: this.address, slots, connections };
  }

  /** How many connections are open, control and replication not counted. */
  get connections(): number {
    return this.listener.connectionCount;
  }

  get lagMs(): number {
    return this.lag;
  }

  /** Sets the lag of what it copies, in milliseconds, for records on their way as well. */
  setLag(ms: number): void {
    this.lag = ms;
    this.link?.link.update();
  }

  /** Starts to listen, at first and after `kill`. Log, role and fence are what they were. */
  async start(): Promise<void> {
    await loadParser();
    await this.listener.start();
    this.updateLink();
  }

  /** Drops all connections and refuses new ones, as a crash does. The log is kept. */
  async kill(): Promise<void> {
    const stopped = this.listener.stop();
    this.dropLink();
    this.faults.endAll();
    await stopped;
  }

  /** Makes the open ordinary connections silent for good; new ones work. */
  silenceConnections(): void {
    this.listener.silenceConnections();
  }

  async dispose(): Promise<void> {
    await this.kill();
  }

  private buildServices(): Services {
    const { member, slots, faults, statements: record } = this;
    const control = new ControlFunctions(member, record, {
      fault: ([name, value]) => applyFault(this, String(name), Number(value ?? 0)),
      load: () => ({
        busy: slots.busy,
        waiting: slots.waiting,
        connections: this.connections,
      }),
    });
    return { member, slots, faults, history: record, control, serviceMs: this.options.serviceMs };
  }

  /** Keeps the one link that role and fence allow. */
  private updateLink(): void {
    const wanted = this.listener.isListening ? this.member.followedPrimary : undefined;
    if (this.link?.of !== wanted) this.dropLink();
    if (this.link !== undefined && !this.member.canCopy(this.link.of)) this.dropLink();
    if (this.link !== undefined || wanted === undefined || !this.member.canCopy(wanted)) return;
    this.link = { of: wanted, link: new ReplicationLink(this.member, wanted, this.faults, () => this.lag) };
  }

  private dropLink(): void {
    this.link?.link.stop();
    this.link = undefined;
  }
}
