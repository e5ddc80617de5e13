import { serialize } from "pg-protocol";
import { silentLogger } from "../../src/log/index.js";
import {
  DisposableStore,
  firstTerm,
  type Conversation,
  type Group,
  type Mark,
  type Outcome,
  type PeerClient,
  type Request,
  type ServeAction,
} from "../../src/model/index.js";
import { OwnerGateway, noopHooks } from "../../src/owner/index.js";
import { createSystemClock, createSystemRandom } from "../../src/system/index.js";
import { PgTargetConnector, PgTargetControl } from "../../src/target/index.js";
import { StandinTarget } from "../../standin/target/index.js";

const unreachable = { type: "unreachable", reason: "no peers in this test" } as const;
const noPeers: PeerClient = {
  probe: () => Promise.resolve({ type: "silent", reason: "no peers" }),
  probeThrough: () => Promise.resolve({ type: "silent", reason: "no peers" }),
  checkTarget: () => Promise.resolve(unreachable),
  fetchConfiguration: () => Promise.resolve({ type: "absent" }),
  pushConfiguration: () => Promise.resolve({ type: "absent" }),
};

/** A group of three stand-in targets and one owner. */
export interface TestGroup {
  readonly targets: readonly StandinTarget[];
  readonly group: Group;
  readonly gateway: OwnerGateway;
  /** Adds another owner of the same group, as if two VMs disagreed about which VMs are live. */
  addOwner(vm: string): OwnerGateway;
  dispose(): Promise<void>;
}

export async function startGroup(lagMs = 5): Promise<TestGroup> {
  const store = new DisposableStore();
  const clock = createSystemClock();
  const targets = ["t1", "t2", "t3"].map((name) => {
    const options = { name, lagMs, slots: 2, connections: 16, connectMs: 2, serviceMs: 0 };
    return store.add(new StandinTarget(options));
  });
  for (const target of targets) await target.start();
  const [first, ...rest] = targets;
  if (first === undefined) throw new Error("no target");
  for (const replica of rest) {
    const { name, address } = first;
    replica.member.follow({ name, address, term: firstTerm });
  }
  const group = { name: "libro", targets: targets.map((t) => t.target) };
  const addOwner = (vm: string) => {
    const gateway = new OwnerGateway({
      vm,
      connector: new PgTargetConnector(),
      control: store.add(new PgTargetControl()),
      peers: noPeers,
      clock,
      random: createSystemRandom(),
      logger: silentLogger,
      hooks: noopHooks,
      listCheckerVms: () => [],
    });
    gateway.setGroups(new Map([[group.name, group]]), new Set([group.name]));
    return store.add(gateway);
  };
  return { targets, group, gateway: addOwner("vm-1"), addOwner, dispose: () => store.dispose() };
}

export const serveAction: ServeAction = {
  type: "serve",
  route: { type: "replica" },
  priority: "normal",
  deadlineMs: 5000,
  maxQueueMs: 5000,
  retry: { attempts: 3 },
  acknowledgement: "replicated",
};

/** The outcome of a statement, the types of the messages of its answer, and their bytes as Latin-1. */
export interface RunResult {
  readonly outcome: Outcome;
  readonly types: string;
  readonly text: string;
}

let nextId = 1;
const clock = createSystemClock();

export interface RunOptions {
  readonly key?: string;
  readonly digest?: string;
  readonly mark?: Mark;
  readonly transaction?: boolean;
  readonly action?: Partial<ServeAction>;
}

/** Runs one statement as a simple query in an open conversation. */
export async function runSql(
  conversation: Conversation,
  effect: "read" | "write",
  sql: string,
  options: RunOptions = {},
): Promise<RunResult> {
  const action = { ...serveAction, ...options.action };
  const { key, mark, transaction = false } = options;
  const request: Request = {
    id: `r${nextId++}`,
    traits: {
      group: "libro",
      team: "ferrante",
      plan: "paying",
      kind: effect,
      effect,
      tables: [],
      transaction,
    },
    rule: "test",
    action,
    deadlineAt: clock.now() + action.deadlineMs,
    ...(mark === undefined ? {} : { mark }),
    ...(key === undefined ? {} : { idempotency: { key, digest: options.digest ?? sql } }),
  };
  const messages: Uint8Array[] = [];
  const sink = (message: Uint8Array) => void messages.push(message);
  const signal = new AbortController().signal;
  const outcome = await conversation.run(request, serialize.query(sql), sink, signal);
  const types = messages.map((m) => String.fromCharCode(m[0] ?? 0)).join("");
  return { outcome, types, text: Buffer.concat(messages).toString("latin1") };
}

/** Runs one statement in a conversation of its own. */
export async function runOnce(
  gateway: OwnerGateway,
  effect: "read" | "write",
  sql: string,
  options: RunOptions = {},
): Promise<RunResult> {
  const conversation = gateway.open("libro");
  const answer = await runSql(conversation, effect, sql, options);
  conversation.close();
  return answer;
}
