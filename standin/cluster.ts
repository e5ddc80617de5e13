import { DisposableStore, firstTerm, type Disposable, type Group } from "../src/model/index.js";
import { StandinPlatform } from "./platform/index.js";
import { StandinTarget, type StandinTargetOptions } from "./target/index.js";

/** Options of a group. Times and limits apply to each of its targets. */
export interface GroupOptions extends Omit<StandinTargetOptions, "name" | "dataCentre" | "port"> {
  readonly name: string;
  /** The data centre of each target, of which the first starts as primary. Three by default. */
  readonly dataCentres?: readonly string[];
}

/** Options of a cluster. */
export interface ClusterOptions {
  /** One group named `ledger` by default. */
  readonly groups?: readonly GroupOptions[];
  readonly host?: string;
}

/** A running group: its targets, the first of which started as primary. */
export interface RunningGroup {
  readonly name: string;
  readonly targets: readonly StandinTarget[];
  /** The group as the platform describes it. */
  readonly group: Group;
}

/** A stand-in platform and its groups; disposing of it stops all of them. */
export interface Cluster extends Disposable {
  readonly platform: StandinPlatform;
  readonly groups: readonly RunningGroup[];
}

const defaultDataCentres = ["dc-1", "dc-2", "dc-3"];

/** Sizes of real groups, for `buildGroups`. */
export const sizes = {
  ferrante: {
    prefix: "libro-alquiler",
    dataCentres: ["palermo", "barracas", "belgrano"],
    slots: 2,
    connections: 16,
  },
  cluj: {
    prefix: "baza-rezervari",
    dataCentres: ["cluj-centru", "cluj-manastur", "cluj-gheorgheni"],
    slots: 5,
    connections: 55,
  },
} as const;

/** Builds the options of `count` groups of one of the `sizes`. */
export function buildGroups(
  size: (typeof sizes)[keyof typeof sizes],
  count: number,
  options: Partial<GroupOptions> = {},
): readonly GroupOptions[] {
  const { prefix, ...limits } = size;
  return Array.from({ length: count }, (_, i) => ({
    ...limits,
    ...options,
    name: `${prefix}-${i + 1}`,
  }));
}

/** Starts a platform and groups in this process; replicas follow their primaries. */
export async function startCluster(options: ClusterOptions = {}): Promise<Cluster> {
  const { groups = [{ name: "ledger" }], host = "127.0.0.1" } = options;
  const store = new DisposableStore();
  const platform = store.add(new StandinPlatform({ host }));
  try {
    await platform.start();
    const running = await Promise.all(groups.map((g) => startGroup(store, { host, ...g })));
    platform.setGroups(running.map((r) => r.group));
    return { platform, groups: running, dispose: () => store.dispose() };
  } catch (error) {
    await store.dispose();
    throw error;
  }
}

/** Starts one group without a platform; disposing of `store` stops its targets. */
export async function startGroup(
  store: DisposableStore,
  options: GroupOptions,
): Promise<RunningGroup> {
  const { name, dataCentres = defaultDataCentres, ...limits } = options;
  const targets = dataCentres.map((dataCentre, i) =>
    store.add(new StandinTarget({ ...limits, name: `${name}-${i + 1}`, dataCentre })),
  );
  await Promise.all(targets.map((t) => t.start()));
  const [primary, ...replicas] = targets;
  for (const replica of replicas) followFirst(replica, primary);
  return { name, targets, group: { name, targets: targets.map((t) => t.target) } };
}

function followFirst(replica: StandinTarget, primary: StandinTarget | undefined): void {
  if (primary === undefined) return;
  const { name, address } = primary;
  replica.member.follow({ name, address, term: firstTerm });
}
