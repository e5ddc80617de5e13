import {
  GroupDirectory,
  type Database,
  type DirectPorts,
  type Holding,
  type Scene,
  type TeamRoster,
} from "../../src/direct/index.js";
import { directRunner } from "../../src/direct/direct.js";
import type { PrimaryState } from "../../src/direct/primary.js";
import { DirectSession } from "../../src/direct/session.js";
import { silentLogger } from "../../src/log/index.js";
import type { Mark, Route } from "../../src/model/index.js";
import { unlimitedRateLimiter } from "../../src/rates/index.js";
import {
  completeLocally,
  type CommandResult,
  type SessionState,
  type Statement,
  type TargetCommand,
  type TargetLink,
} from "../../src/statement/index.js";
import { FakeClock, makeRandom, settle } from "../fleet/fakes.js";

/** A command that a stage's target has got; answered by the test. */
export interface Sent {
  readonly target: string;
  readonly command: TargetCommand;
  readonly answer: (result?: CommandResult) => void;
}

export interface StageOptions {
  readonly targets?: readonly string[];
  readonly proxies?: number;
  readonly connections?: number;
  readonly slots?: number;
  readonly roster?: TeamRoster;
}

export const group = "ledger";

/** The results of a target that does what it is told. */
export const answered = (state: SessionState = "idle", mark?: Mark): CommandResult => ({
  type: "answered",
  reply: { ...completeLocally(state), ...(mark === undefined ? {} : { mark }) },
});

/** One proxy's way from a statement to its targets, without a network and with time that stands still. */
export class Stage {
  readonly clock = new FakeClock();
  readonly sent: Sent[] = [];
  /** Primaries that were told to be silent. */
  readonly silent: string[] = [];
  /** Whether the test answers what begins a transaction too. */
  isHoldingBegins = false;
  /** Targets of connections that were closed. */
  readonly closed: string[] = [];
  /** Primaries that were told to have lost their log. */
  readonly emptied: string[] = [];
  /** What the proxy holds of the targets' connections. */
  holding: Holding;
  primary: PrimaryState = { type: "serving", target: "p" };
  readonly groups: GroupDirectory;
  readonly ports: DirectPorts;
  private next = 1;
  private readonly scene: Scene;

  constructor(options: StageOptions = {}) {
    const scene = makeScene(options);
    this.holding = { type: "equal", proxies: options.proxies ?? 1 };
    this.ports = {
      dialer: {
        open: (_group, target) => Promise.resolve(this.makeLink(target.name)),
        isTooMany: () => false,
      },
      dataCentre: "a",
      primaries: {
        find: () => this.primary,
        noteContact: () => undefined,
        noteLostLog: (_group, target) => {
          this.emptied.push(target);
          this.primary = { type: "changing", backInMs: 900, reason: "lost" };
        },
        noteSilence: (_group, target) => this.silent.push(target),
      },
      clock: this.clock,
      random: makeRandom(1),
      logger: silentLogger,
      scene: () => scene,
      findHolding: () => this.holding,
      rates: unlimitedRateLimiter,
      onStatement: () => undefined,
    };
    this.groups = new GroupDirectory(this.ports);
    this.scene = scene;
    this.groups.update(scene);
  }

  /** Changes what the proxy holds, as a change of the listed proxies does. */
  hold(holding: Holding): void {
    this.holding = holding;
    this.groups.update(this.scene);
  }

  open(database: string, options: { readonly key?: string } = {}): DirectSession {
    const nextId = () => `t${this.next++}`;
    return new DirectSession({
      id: "s",
      database,
      key: options.key ?? "",
      ports: this.ports,
      groups: this.groups,
      runner: directRunner,
      nextId,
    });
  }

  /** The commands of one kind that a target has got. */
  list(target: string, type: TargetCommand["type"]): readonly Sent[] {
    return this.sent.filter((s) => s.target === target && s.command.type === type);
  }

  /** Lets time pass in steps, so that timers of all kinds of waiting get their turn. */
  async advance(ms: number): Promise<void> {
    await this.clock.advance(ms);
    await settle();
  }

  dispose(): Promise<void> {
    return this.groups.dispose();
  }

  private makeLink(target: string): TargetLink {
    let isUsable = true;
    let isInUse = false;
    return {
      target,
      get isUsable() {
        return isUsable && !isInUse;
      },
      openedAt: undefined,
      run: (command) => {
        if (!isUsable || isInUse) {
          return Promise.resolve({ type: "broken", sent: false, reason: "closed or in use" });
        }
        const isHeld = command.type === "begin" && this.isHoldingBegins;
        if (!isHeld && (command.type === "begin" || command.type === "rollback")) {
          this.sent.push({ target, command, answer: () => undefined });
          const state = command.type === "begin" ? "transaction" : "idle";
          return Promise.resolve({ type: "answered", reply: completeLocally(state) });
        }
        isInUse = true;
        return new Promise((resolve) => {
          const answer = (result = answered()) => {
            isInUse = false;
            resolve(result);
          };
          this.sent.push({ target, command, answer });
        });
      },
      close: () => {
        if (isUsable) this.closed.push(target);
        isUsable = false;
      },
    };
  }
}

export const read = (id: string): Statement => ({
  type: "access",
  id,
  effect: "read",
  text: "READ cello",
});
export const write = (id: string): Statement => ({
  type: "access",
  id,
  effect: "write",
  text: "WRITE cello taken",
});

function makeScene(options: StageOptions): Scene {
  const names = options.targets ?? ["p", "q"];
  const targets = names.map((name, i) => ({
    name,
    address: { host: "10.0.0.1", port: 5000 + i },
    dataCentre: "a",
    slots: options.slots ?? 2,
    connections: options.connections ?? 16,
    announcedRole: i === 0 ? ("primary" as const) : ("replica" as const),
  }));
  const databases = [
    makeDatabase("primary", { type: "primary" }),
    makeDatabase("own", { type: "replica", maxAgeMs: 2500 }),
  ];
  return {
    revision: 1,
    databases: new Map(databases.map((d) => [d.name, d])),
    groups: new Map([[group, { name: group, connections: options.connections ?? 16, targets }]]),
    // So long that nothing is rolled back for having rested.
    transactionIdleMs: 600_000,
    lineTimeoutMs: 3000,
    ...(options.roster === undefined ? {} : { roster: options.roster }),
  };
}

function makeDatabase(name: string, route: Route): Database {
  return {
    name,
    group,
    action: {
      type: "serve",
      route,
      priority: "critical",
      deadlineMs: 800,
      maxQueueMs: 400,
      retry: { attempts: 0 },
      acknowledgement: "witnessed",
    },
  };
}
