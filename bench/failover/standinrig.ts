import pg from "pg";
import { type GapSplit, GroupWatch } from "../../src/groupwatch/index.js";
import { silentLogger } from "../../src/log/index.js";
import type { Clock, PeerCheck, Target, Vm } from "../../src/model/index.js";
import { PgTargetControl } from "../../src/target/index.js";
import { startCluster } from "../../standin/index.js";
import type { StandinTarget } from "../../standin/target/index.js";
import { createRandom } from "./fakefleet.js";
import { createPreciseClock } from "./preciseclock.js";
import type { GapListener, Rig } from "./rig.js";

/** Between two data centres, in milliseconds; the stand-ins themselves answer over loopback. */
const hopMs = 0.5;

/** A rig over stand-in targets in this process, reached through the PostgreSQL protocol. */
export async function createStandinRig(seed: number, onGap: GapListener): Promise<Rig> {
  const clock = createPreciseClock();
  const cluster = await startCluster({
    groups: [{ name: "ledger", slots: 2, connections: 16, connectMs: 12, serviceMs: 0 }],
  });
  const [running] = cluster.groups;
  if (running === undefined) throw new Error("no group");
  const control = new PgTargetControl();
  const peers = new PgTargetControl();
  const watch = startWatch(running.group.targets, { control, peers }, clock, seed, onGap);
  const statements = new Statements(running.group.targets);
  await createTable(running.targets[0]);
  return {
    clock,
    watch,
    write: (target) => statements.write(target),
    fail: async (name, failure) => {
      const target = find(running.targets, name);
      if (failure === "kill") await target.kill();
      else target.faults.running.close();
    },
    mend: async (name) => {
      const target = find(running.targets, name);
      if (target.faults.running.isClosed) target.faults.running.open();
      else await target.start();
    },
    setLag: (ms) => {
      for (const target of running.targets) target.setLag(ms);
    },
    dispose: async () => {
      await watch.dispose();
      statements.dispose();
      control.dispose();
      peers.dispose();
      await cluster.dispose();
    },
  };
}

function startWatch(
  targets: readonly Target[],
  { control, peers }: { readonly control: PgTargetControl; readonly peers: PgTargetControl },
  clock: Clock,
  seed: number,
  onGap: (gapMs: number, split: GapSplit) => void,
): GroupWatch {
  const checkTarget = async (
    _via: Vm,
    _group: string,
    name: string,
    timeoutMs: number,
  ): Promise<PeerCheck> => {
    await clock.sleep(2 * hopMs);
    return peers.getStatus(find(targets, name), { timeoutMs, fresh: true });
  };
  const helper = { dataCentre: "dc", peer: { host: "127.0.0.1", port: 1 }, state: "live" } as const;
  const watch = new GroupWatch({
    group: { name: "ledger", targets },
    vm: "v1",
    control,
    peers: { checkTarget },
    clock,
    random: createRandom(seed),
    log: silentLogger,
    findHelpers: () => ["v2", "v3"].map((name) => ({ ...helper, name })),
    onGap,
  });
  watch.start();
  return watch;
}

/** One connection to each target, opened when needed. */
class Statements {
  private readonly clients = new Map<string, Promise<pg.Client>>();
  private written = 0;

  constructor(private readonly targets: readonly Target[]) {}

  async write(name: string): Promise<boolean> {
    this.written += 1;
    try {
      const client = await this.open(name);
      await client.query(`INSERT INTO bench (id) VALUES (${this.written})`);
      return true;
    } catch {
      await this.drop(name);
      return false;
    }
  }

  dispose(): void {
    for (const name of [...this.clients.keys()]) void this.drop(name);
  }

  private open(name: string): Promise<pg.Client> {
    const kept = this.clients.get(name) ?? connect(find(this.targets, name));
    this.clients.set(name, kept);
    return kept;
  }

  private async drop(name: string): Promise<void> {
    const client = this.clients.get(name);
    this.clients.delete(name);
    await client?.then((c) => c.end()).catch(() => undefined);
  }
}

async function connect({ address }: Target): Promise<pg.Client> {
  const client = new pg.Client({ ...address, user: "paying", database: "ledger" });
  client.on("error", () => undefined);
  await client.connect();
  return client;
}

async function createTable(primary: StandinTarget | undefined): Promise<void> {
  if (primary === undefined) throw new Error("no target");
  const client = await connect(primary.target);
  await client.query("CREATE TABLE bench (id integer PRIMARY KEY)");
  await client.end();
}

function find<T extends { readonly name: string }>(targets: readonly T[], name: string): T {
  const target = targets.find((t) => t.name === name);
  if (target === undefined) throw new Error(`no target ${name}`);
  return target;
}
