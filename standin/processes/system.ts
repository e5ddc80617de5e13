import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  DisposableStore,
  type Address,
  type Disposable,
  type Group,
  type Target,
  type Vm,
} from "../../src/model/index.js";
import { Children, type Child } from "./children.js";
import { findFreePort, host } from "./port.js";

/** The parts of a system and their settings. Times are in milliseconds. */
export interface SystemOptions {
  readonly group: string;
  readonly targets: readonly string[];
  readonly proxies: number;
  /** The rules as YAML, in the format of `radishwalk apply`. */
  readonly rules: string;
  readonly slots?: number;
  readonly connections?: number;
  readonly connectMs?: number;
  readonly serviceMs?: number;
  readonly lagMs?: number;
  readonly drainLimitMs?: number;
  /** YAML lines to append to the settings of each proxy. */
  readonly settings?: string;
  /** Node.js flags for the proxies, such as `--cpu-prof`. */
  readonly proxyFlags?: readonly string[];
}

/** A proxy process and its listening addresses. */
export interface RunningProxy {
  readonly vm: Vm;
  readonly child: Child;
  readonly callers: Address;
  readonly health: Address;
}

/** A target process. */
export interface RunningTarget {
  readonly target: Target;
  readonly child: Child;
}

/** The processes of a system; disposing of it stops them and removes `folder`. */
export interface RunningSystem extends Disposable {
  readonly platform: Child;
  readonly group: Group;
  readonly targets: readonly RunningTarget[];
  readonly proxies: readonly RunningProxy[];
  readonly folder: string;
  readonly children: Children;
}

type PlannedProxy = Omit<RunningProxy, "child">;

/** Starts all processes; resolves when the rules are in force on every proxy. */
export async function startSystem(options: SystemOptions): Promise<RunningSystem> {
  const disposables = new DisposableStore();
  const folder = mkdtempSync(join(tmpdir(), "radishwalk-"));
  disposables.defer(() => {
    rmSync(folder, { recursive: true });
  });
  const children = disposables.add(new Children());
  try {
    const platform = children.start("platform", "../platform/main.js", []);
    const platformAddress = await readAddress(platform);
    const targets = await startTargets(children, options);
    const group = { name: options.group, targets: targets.map((t) => t.target) };
    await putList(platformAddress, "groups", [group]);
    const proxies = await startProxies(children, folder, platformAddress, options);
    await applyRules(children, folder, platformAddress, proxies, options.rules);
    const dispose = () => disposables.dispose();
    return { platform, group, targets, proxies, folder, children, dispose };
  } catch (error) {
    await disposables.dispose();
    throw error;
  }
}

/** Waits for the line with its address that a stand-in prints once it listens. */
async function readAddress(child: Child): Promise<Address> {
  const line = await child.waitForLine(({ port }) => typeof port === "number");
  return { host, port: Number(line.port) };
}

async function startTargets(
  children: Children,
  options: SystemOptions,
): Promise<readonly RunningTarget[]> {
  const { slots = 2, connections = 16 } = options;
  const targets: RunningTarget[] = [];
  for (const name of options.targets) {
    const args = ["--name", name, ...formatTargetFlags(options), ...formatFollowFlag(targets[0])];
    const child = children.start(name, "../target/main.js", args);
    const address = await readAddress(child);
    targets.push({ child, target: { name, dataCentre: name, address, slots, connections } });
  }
  return targets;
}

function formatTargetFlags(options: SystemOptions): readonly string[] {
  const { slots = 2, connections = 16, connectMs = 12, serviceMs = 1, lagMs = 0 } = options;
  const flags = {
    "--slots": slots,
    "--connections": connections,
    "--connect-ms": connectMs,
    "--service-ms": serviceMs,
    "--lag-ms": lagMs,
  };
  return Object.entries(flags).flatMap(([flag, value]) => [flag, String(value)]);
}

function formatFollowFlag(first: RunningTarget | undefined): readonly string[] {
  if (first === undefined) return [];
  const { name, address } = first.target;
  return ["--follow", `${name}@${formatAddress(address)}`];
}

async function putList(platform: Address, list: "vms" | "groups", value: unknown): Promise<void> {
  const response = await fetch(`http://${formatAddress(platform)}/${list}`, {
    method: "PUT",
    body: JSON.stringify(value),
  });
  if (!response.ok)
    throw new Error(`the platform refused the list of ${list} with status ${response.status}`);
}

async function startProxies(
  children: Children,
  folder: string,
  platform: Address,
  options: SystemOptions,
): Promise<readonly RunningProxy[]> {
  const planned: PlannedProxy[] = [];
  for (let i = 1; i <= options.proxies; i += 1) planned.push(await allocateProxy(i));
  await putList(
    platform,
    "vms",
    planned.map((p) => p.vm),
  );
  const proxies = planned.map((p) => {
    const path = join(folder, `${p.vm.name}.yaml`);
    writeFileSync(path, formatSettings(p, platform, options));
    const child = children.start(p.vm.name, "../../src/bin/proxy.js", [path], options.proxyFlags);
    return { ...p, child };
  });
  await Promise.all(proxies.map((p) => p.child.waitForLine((l) => l.name === "processReady")));
  return proxies;
}

async function allocateProxy(index: number): Promise<PlannedProxy> {
  const allocateAddress = async () => ({ host, port: await findFreePort() });
  const name = `vm-${index}`;
  const vm: Vm = { name, dataCentre: `dc-${index}`, peer: await allocateAddress(), state: "live" };
  return { vm, callers: await allocateAddress(), health: await allocateAddress() };
}

function formatSettings(proxy: PlannedProxy, platform: Address, options: SystemOptions): string {
  return `vm: ${proxy.vm.name}
dataCentre: ${proxy.vm.dataCentre}
listen:
  callers: ${formatAddress(proxy.callers)}
  peers: ${formatAddress(proxy.vm.peer)}
  health: ${formatAddress(proxy.health)}
platform: [${formatAddress(platform)}]
tls: { callers: off, peers: off }
sessionKeys:
  - { id: local, secret: not-a-secret-only-for-stand-ins-0001 }
drain: { announce: 200ms, limit: ${options.drainLimitMs ?? 5000}ms }
${options.settings ?? ""}
`;
}

/** Applies the rules with `radishwalk apply`, as an operator does. */
async function applyRules(
  children: Children,
  folder: string,
  platform: Address,
  proxies: readonly RunningProxy[],
  rules: string,
): Promise<void> {
  const path = join(folder, "rules.yaml");
  writeFileSync(path, rules);
  const proxyArgs = proxies.flatMap(({ health }) => ["--proxy", formatAddress(health)]);
  const args = ["apply", path, "--platform", `http://${formatAddress(platform)}`, "--base", "0"];
  const child = children.start("apply", "../../src/bin/radishwalk.js", [...args, ...proxyArgs]);
  const { code } = await child.ended;
  if (code !== 0) throw new Error(`radishwalk apply exited with ${code ?? "a signal"}`);
}

function formatAddress(address: Address): string {
  return `${address.host}:${address.port}`;
}
