import { setTimeout as sleep } from "node:timers/promises";
import { DisposableStore, type Address, type Disposable } from "../../../src/model/index.js";
import { StandinLineTarget, StandinLog, StandinMetadata } from "../../direct/index.js";
import { FaultyLink } from "../../link.js";
import type { BackendCommand, StoredWrites } from "./commands.js";
import { RegionNetwork, type Detours, type RegionAddress } from "./region-network.js";
import { findRegion, formatDatabase, formatGroup, formatKey, type SoakSite } from "./site.js";

interface BackendGroup {
  readonly name: string;
  readonly log: StandinLog;
  readonly targets: readonly BackendTarget[];
}

interface BackendTarget {
  readonly target: StandinLineTarget;
  /** What nodes connect to, so that a target can be silent without the kernel closing its connections. */
  readonly link: FaultyLink;
  readonly zone: string;
  isRunning: boolean;
}

const heartbeatMs = 1200;
/** After this long without a heartbeat a target's entry is removed, in milliseconds. */
const entryLifetimeMs = 3 * heartbeatMs;

/** The store and all targets of a site, in one process. */
export class Backends implements Disposable {
  private readonly owned = new DisposableStore();
  private readonly store = new StandinMetadata();
  private readonly groups: BackendGroup[] = [];
  private readonly storeLinks: FaultyLink[] = [];
  private version = 0;
  private sequence = 0;

  private readonly network: RegionNetwork;

  constructor(private readonly site: SoakSite) {
    this.network = this.owned.add(new RegionNetwork(site));
  }

  /** Starts everything; returns one address of the store for each node, so that each can be cut off alone. */
  async start(nodes: number): Promise<readonly Address[]> {
    const { site, store } = this;
    store.answerMs = site.storeMs;
    store.limits = { reads: site.storeReadsPerSecond, writes: site.storeWritesPerSecond };
    await store.start();
    this.owned.add(store);
    store.onPromote = (service, id) => this.promote(service, id);
    for (let i = 0; i < site.groups; i += 1) await this.addGroup(i);
    for (let i = 0; i < nodes; i += 1) this.storeLinks.push(await this.openLink(store));
    this.writeConfiguration();
    this.announceAll();
    const timer = setInterval(() => this.announceAll(), heartbeatMs);
    this.owned.defer(() => clearInterval(timer));
    return this.storeLinks.map((link) => link.address);
  }

  /** Opens relays to the store, which is in the first zone's region, to the targets and to these addresses. */
  openRelays(addresses: readonly RegionAddress[]): Promise<Readonly<Record<string, Detours>>> {
    const storeRegion = findRegion(this.site, this.site.zones[0] ?? "");
    const stores = this.storeLinks.map(({ address }) => ({ region: storeRegion, address }));
    const targets = this.groups.flatMap((group) =>
      group.targets.map(({ zone, link }) => ({
        region: findRegion(this.site, zone),
        address: link.address,
      })),
    );
    return this.network.openRelays([...addresses, ...stores, ...targets]);
  }

  listSentBytes(): Readonly<Record<string, number>> {
    return this.network.listSentBytes();
  }

  dispose(): Promise<void> {
    return this.owned.dispose();
  }

  async apply(command: BackendCommand): Promise<void> {
    const { store } = this;
    switch (command.type) {
      case "storeBusy":
        store.isBusy = true;
        await sleep(command.forMs);
        store.isBusy = false;
        return;
      case "storeSlow":
        store.answerMs = this.site.storeMs + command.ms;
        await sleep(command.forMs);
        store.answerMs = this.site.storeMs;
        return;
      case "loseStoreAnswers":
        store.loseAnswers = command.count;
        return;
      case "cutStore":
        return this.disturbStore(command, (link) => link.setFlow("hold", "hold"));
      case "resetStore":
        return this.disturbStore(command, (link) => link.setRefusing(true));
      case "crashPrimary":
        return this.crashPrimary(command.group, command.forMs);
      case "silencePrimary":
        return this.silencePrimary(command.group, command.forMs);
      case "losePrimaryAnswers":
        return this.losePrimaryAnswers(command.group, command.forMs);
      case "lagReplicas":
        return this.lagReplicas(command);
      case "cutRegions":
        return this.cutRegions(command.regions, command.forMs);
      case "changeConfiguration":
        this.writeConfiguration();
    }
  }

  /** Collects the writes in the logs of all primaries, and those that promotions rolled back. */
  collectWrites(): StoredWrites {
    const logs = this.groups.map(({ log }) => log);
    return {
      kept: logs.flatMap((log) =>
        log.findNewest().flatMap(({ writes }) => writes.map(({ id }) => id)),
      ),
      rolledBack: logs.flatMap((log) => [...log.rolledBack]),
    };
  }

  private async addGroup(index: number): Promise<void> {
    const { site } = this;
    const log = new StandinLog();
    log.lagMs = site.lagMs;
    const name = formatGroup(index);
    const targets: BackendTarget[] = [];
    const zones = site.targetZones ?? site.zones;
    const getRegion = (id: string) =>
      findRegion(site, targets.find(({ target }) => target.id === id)?.zone ?? "");
    log.isLinked = (from, to) => !this.network.isCut(getRegion(from.id), getRegion(to.id));
    for (let i = 0; i < site.targetsPerGroup; i += 1) {
      const target = new StandinLineTarget(
        `i-${index}-${i}`,
        i === 0 ? "primary" : "replica",
        log,
        {
          service: name,
          slots: site.slots,
          maxConnections: site.connections,
          connectMs: site.connectMs,
          getWorkMs: findWorkMs,
          keepsRuns: false,
        },
      );
      await target.start();
      this.owned.add(target);
      const zone = zones[i % zones.length] ?? "";
      targets.push({ target, link: await this.openLink(target), zone, isRunning: true });
    }
    this.groups.push({ name, log, targets });
  }

  private async openLink(destination: { readonly address: Address }): Promise<FaultyLink> {
    const link = this.owned.add(new FaultyLink(() => destination.address));
    await link.start();
    return link;
  }

  private writeConfiguration(): void {
    const { site } = this;
    this.version += 1 + (this.version % 3);
    const groups = Array.from({ length: site.groups }, (_, index) => index);
    const routes = groups.flatMap((group) =>
      site.kinds.map((kind) => ({
        name: `r-${kind.name}-${group}`,
        host: formatDatabase(kind.name, group),
        service: formatGroup(group),
        type: kind.type,
        priority: kind.level ?? (kind.type === "primary" ? 1 : 2),
        public: false,
        "timeout-ms": kind.timeoutMs,
        "target-latency-ms": kind.objectiveMs,
        "max-staleness-ms": kind.maxAgeMs,
      })),
    );
    const services = groups.map((group) => ({
      name: formatGroup(group),
      "max-conns": site.connections,
      "sync-replicas": 0,
    }));
    const limits = { "tx-idle-ms": 3000, "header-timeout-ms": 3000 };
    const tenants = site.teams.map(({ name, ratePerSecond, burst }) => ({
      name,
      "api-keys": [formatKey(name)],
      ...(ratePerSecond === undefined ? {} : { "rate-per-s": ratePerSecond, burst }),
    }));
    const teams = tenants.length === 0 ? {} : { tenants };
    this.store.set("config", "main", { version: this.version, routes, services, limits, ...teams });
  }

  /** Writes the entry of each target that runs, as their heartbeats do. */
  private announceAll(): void {
    if (this.store.isBusy) return;
    this.sequence += 1;
    for (const { name, targets } of this.groups) {
      for (const { target, link, zone, isRunning } of targets) {
        if (isRunning) this.announce(name, target, link.address, zone);
      }
    }
  }

  private announce(group: string, target: StandinLineTarget, at: Address, zone: string): void {
    const entry = {
      service: group,
      address: `${at.host}:${at.port}`,
      zone,
      version: "v1",
      capacity: this.site.slots,
      state: "ready",
      "cold-remaining-ms": 0,
      "db-role": target.member.role,
      born: target.startedAt,
    };
    const known = this.store.find("servers", target.id) as
      { readonly sequence: number } | undefined;
    // An unchanged entry keeps its revision, as on the platform.
    const { sequence = this.sequence } = known ?? {};
    const isSame = JSON.stringify({ ...entry, sequence }) === JSON.stringify(known);
    if (!isSame) this.store.set("servers", target.id, { ...entry, sequence: this.sequence });
  }

  private async promote(service: string, id: string): Promise<boolean> {
    const group = this.groups.find(({ name }) => name === service);
    const named = group?.targets.find(({ target }) => target.id === id);
    if (group === undefined || named?.isRunning !== true) return false;
    await sleep(this.site.promoteMs);
    group.log.promote(id);
    this.announceAll();
    return true;
  }

  private async disturbStore(
    { nodes, forMs }: { readonly nodes: readonly number[]; readonly forMs: number },
    disturb: (link: FaultyLink) => void,
  ): Promise<void> {
    const links = nodes.flatMap((node) => this.storeLinks[node] ?? []);
    links.forEach(disturb);
    await sleep(forMs);
    for (const link of links) link.clearFaults();
  }

  private findPrimary(index: number): BackendTarget | undefined {
    const group = this.groups[index % this.groups.length];
    const id = group?.log.findPrimary()?.id;
    return group?.targets.find(({ target }) => target.id === id);
  }

  /** Ends the primary as a crash does, and starts it again with its log. */
  private async crashPrimary(group: number, forMs: number): Promise<void> {
    const primary = this.findPrimary(group);
    if (primary === undefined) return;
    primary.isRunning = false;
    const expiry = setTimeout(() => {
      if (!primary.isRunning) this.store.remove("servers", primary.target.id);
    }, entryLifetimeMs);
    await primary.target.crash();
    await sleep(forMs);
    clearTimeout(expiry);
    await primary.target.restart();
    primary.isRunning = true;
    this.announceAll();
  }

  private async silencePrimary(group: number, forMs: number): Promise<void> {
    const primary = this.findPrimary(group);
    primary?.link.setFlow("hold", "hold");
    await sleep(forMs);
    primary?.link.clearFaults();
  }

  private async losePrimaryAnswers(group: number, forMs: number): Promise<void> {
    const primary = this.findPrimary(group);
    if (primary === undefined) return;
    primary.target.faults.loseAnswer = /[0-7]$/;
    await sleep(forMs);
    primary.target.faults.loseAnswer = undefined;
  }

  private async cutRegions(regions: readonly [string, string], forMs: number): Promise<void> {
    this.network.cut(regions);
    await sleep(forMs);
    this.network.heal(regions);
    for (const { log } of this.groups) log.replicate();
  }

  private async lagReplicas(
    command: Extract<BackendCommand, { readonly type: "lagReplicas" }>,
  ): Promise<void> {
    const { lagMs } = command;
    const group = this.groups[command.group % this.groups.length];
    const members = group?.targets.map(({ target }) => target.member) ?? [];
    const replicas = members.filter(({ role }) => role === "replica");
    const affected = command.isAll ? replicas : replicas.slice(0, 1);
    for (const member of affected) {
      if (lagMs === undefined) member.isReceiving = false;
      else member.extraLagMs = lagMs;
    }
    await sleep(command.forMs);
    for (const member of affected) {
      if (lagMs === undefined) member.isReceiving = true;
      else member.extraLagMs = 0;
    }
    group?.log.replicate();
  }
}

/** How long a statement takes: its item is named after it, such as `30-17` for 30 ms. */
function findWorkMs(text: string): number {
  const item = / (\d+)-\d+/.exec(text);
  return item === null ? 0 : Number(item[1]);
}
