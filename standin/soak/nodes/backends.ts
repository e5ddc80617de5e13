import { setTimeout as sleep } from "node:timers/promises";
import { DisposableStore, type Address, type Disposable } from "../../../src/model/index.js";
import { StandinMetadata } from "../../direct/index.js";
import { FaultyLink } from "../../link.js";
import {
  BackendGroup,
  drainTimeoutMs,
  findTargetAddress,
  type BackendTarget,
} from "./backend-group.js";
import type { BackendCommand, LateArrival, ListedTarget, StoredWrites } from "./commands.js";
import { buildConfiguration } from "./configuration.js";
import { ContactLog } from "./contact.js";
import { listOddObjects, malformedConfiguration } from "./odd-objects.js";
import { RegionNetwork, type Detours, type RegionAddress } from "./region-network.js";
import { findRegion, type SoakSite } from "./site.js";

const heartbeatMs = 1200;
/** After this long without a heartbeat a target's entry is removed, in milliseconds. */
const entryLifetimeMs = 3 * heartbeatMs;
/** Connections of machines that lost their power are closed within this time by the kernel of this one. */
const closingMs = 200;
/** How often the store is checked for a disruption, in milliseconds. */
const contactCheckMs = 100;

/** The store and all targets of a site, in one process. */
export class Backends implements Disposable {
  private readonly owned = new DisposableStore();
  private readonly store = new StandinMetadata();
  private readonly groups: BackendGroup[] = [];
  private readonly storeLinks: FaultyLink[] = [];
  private readonly network: RegionNetwork;
  /** By target: when its last heartbeat reached the store. */
  private readonly heardAt = new Map<string, number>();
  private version = 0;
  private extraRoutes = 0;
  private sequence = 0;
  private readonly storeContact = new ContactLog();
  /** The statements that reached targets later than their drain timeout after these said that they leave. */
  readonly lateArrivals: LateArrival[] = [];

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
    store.onPromote = (service, id) =>
      this.groups.find(({ name }) => name === service)?.promote(id) ?? false;
    for (let i = 0; i < site.groups; i += 1) await this.addGroup(i);
    for (let i = 0; i < nodes; i += 1) {
      const entrance = await store.openEntrance(i);
      this.storeLinks.push(await this.openLink(entrance));
    }
    this.writeConfiguration();
    this.announceAll();
    const timer = setInterval(() => this.announceAll(), heartbeatMs);
    this.owned.defer(() => clearInterval(timer));
    const contactTimer = setInterval(() => this.checkStore(), contactCheckMs);
    this.owned.defer(() => clearInterval(contactTimer));
    return this.storeLinks.map((link) => link.address);
  }

  /** Opens relays to the store, which is in the first zone's region, to the targets and to these addresses. */
  openRelays(addresses: readonly RegionAddress[]): Promise<Readonly<Record<string, Detours>>> {
    const storeRegion = findRegion(this.site, this.site.zones[0] ?? "");
    const stores = this.storeLinks.map(({ address }) => ({ region: storeRegion, address }));
    const targets = this.groups.flatMap((group) =>
      group.targets.map((target) => ({
        region: findRegion(this.site, target.zone),
        address: findTargetAddress(target),
      })),
    );
    return this.network.openRelays([...addresses, ...stores, ...targets]);
  }

  listSentBytes(): Readonly<Record<string, number>> {
    return this.network.listSentBytes();
  }

  /** The targets that run, with the primary of each group. */
  listTargets(): readonly ListedTarget[] {
    return this.groups.flatMap((group, index) => {
      const primary = group.findPrimary();
      return group.targets.map((target) => ({
        group: index,
        port: findTargetAddress(target).port,
        isPrimary: target === primary,
      }));
    });
  }

  /** The node whose conditional write was the last to take effect. */
  get lastWriter(): number | undefined {
    return this.store.lastWriter;
  }

  /** The name of the node that holds the lease on changes of primary. */
  get leaseHolder(): string | undefined {
    const document = this.store.find("radishwalk-leadership", "current") as
      { readonly holder: { readonly vm: string } | null } | undefined;
    return document?.holder?.vm;
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
      case "loseStoreWrites":
        store.writeLoss = command;
        await sleep(command.forMs);
        store.writeLoss = { share: 0, maxDelayMs: 0 };
        return;
      case "refuseNodes":
        return this.refuseNodes(command.nodes, command.status, command.forMs);
      case "cutStore":
        return this.disturbStore(command, (link) => link.setFlow("hold", "hold"));
      case "resetStore":
        return this.disturbStore(command, (link) => link.setRefusing(true));
      case "crashPrimary":
        return this.findGroup(command)?.crashPrimary(command.forMs);
      case "silencePrimary":
        return this.findGroup(command)?.silencePrimary(command.forMs);
      case "darkenPrimary":
        return this.findGroup(command)?.darkenPrimary(command.forMs);
      case "losePrimaryAnswers":
        return this.findGroup(command)?.losePrimaryAnswers(command.forMs);
      case "cutPrimaryFromReplicas":
        return this.findGroup(command)?.cutPrimaryFromReplicas(command.forMs);
      case "cutPrimaryFromStore":
        return this.findGroup(command)?.cutPrimaryFromStore(command.forMs);
      case "isolatePrimary":
        return this.findGroup(command)?.isolatePrimary(command.forMs);
      case "crashAllButDeaf":
        return this.findGroup(command)?.crashAllButDeaf(command.forMs);
      case "writeOddObjects":
        return this.writeOddObjects(command.forMs);
      case "lagReplicas":
        return this.findGroup(command)?.lagReplicas(command);
      case "slowTargets":
        return this.findGroup(command)?.slowTargets(command.factor, command.forMs);
      case "replaceTargets":
        return this.findGroup(command)?.replaceTargets(command);
      case "lingerConnections":
        for (const { target } of this.groups.flatMap(({ targets }) => targets)) {
          target.linger(closingMs, command.forMs);
        }
        return;
      case "cutRegions":
        return this.cutRegions(command.regions, command.forMs);
      case "changeConfiguration":
        return this.changeConfiguration(command);
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
      superseded: this.groups.flatMap((group) => group.listSuperseded()),
    };
  }

  private async addGroup(index: number): Promise<void> {
    const { site } = this;
    const isLinked = (from: string, to: string) =>
      !this.network.isCut(findRegion(site, from), findRegion(site, to));
    const onChange = () => this.announceAll();
    const onArrival = (target: BackendTarget, statement: string) =>
      this.recordArrival(target, statement);
    const group = new BackendGroup(site, index, isLinked, onChange, onArrival);
    this.owned.add(group);
    this.groups.push(group);
    await group.start();
  }

  private findGroup({ group }: { readonly group: number }): BackendGroup | undefined {
    return this.groups[group % this.groups.length];
  }

  private async openLink(address: Address): Promise<FaultyLink> {
    const link = this.owned.add(new FaultyLink(() => address));
    await link.start();
    return link;
  }

  private async changeConfiguration({
    count = 1,
    gapMs = 0,
    addedRoutes = 0,
  }: Extract<BackendCommand, { readonly type: "changeConfiguration" }>): Promise<void> {
    this.extraRoutes += addedRoutes;
    for (let i = 0; i < count; i += 1) {
      if (i > 0) await sleep(gapMs);
      this.writeConfiguration();
    }
  }

  private async writeOddObjects(forMs: number): Promise<void> {
    const objects = listOddObjects(this.groups[0]?.name ?? "");
    for (const { kind, name, text } of objects) this.store.setRaw(kind, name, text);
    this.store.setRaw("config", "main", malformedConfiguration);
    await sleep(forMs);
    for (const { kind, name } of objects) this.store.remove(kind, name);
    this.writeConfiguration();
  }

  private writeConfiguration(): void {
    this.version += 1 + (this.version % 3);
    const configuration = buildConfiguration(this.site, this.version, this.extraRoutes);
    this.store.set("config", "main", configuration);
  }

  /** Writes the entry of each target that runs, as their heartbeats do, and removes those of silent ones. */
  private announceAll(): void {
    if (this.store.isBusy) return;
    this.sequence += 1;
    for (const { name, targets } of this.groups) {
      for (const target of targets) {
        if (target.isRunning && target.isAnnouncing) this.announce(name, target);
      }
    }
    for (const [id, heardAt] of this.heardAt) {
      const hasLeft = !this.groups.some(({ targets }) => targets.some((t) => t.target.id === id));
      if (!hasLeft && performance.now() - heardAt < entryLifetimeMs) continue;
      this.heardAt.delete(id);
      this.store.remove("servers", id);
    }
  }

  /** Records a disruption of the store for as long as it lasts. */
  private checkStore(): void {
    const { isBusy, answerMs, loseAnswers, writeLoss } = this.store;
    const isSlow = answerMs !== this.site.storeMs;
    const isLosing = loseAnswers > 0 || writeLoss.share > 0;
    if (isBusy || isSlow || isLosing) this.storeContact.recordDisruption();
  }

  private recordArrival({ target, leaveAcceptedAt }: BackendTarget, statement: string): void {
    const at = Date.now();
    if (leaveAcceptedAt === undefined || at - leaveAcceptedAt <= drainTimeoutMs) return;
    this.lateArrivals.push({
      statement,
      target: target.id,
      at,
      sinceMs: at - leaveAcceptedAt,
      isStoreStable: [leaveAcceptedAt, at].every((time) => this.storeContact.isInTouch(time)),
    });
  }

  private announce(group: string, announced: BackendTarget): void {
    const { target, link, zone, isLeaving } = announced;
    if (isLeaving) announced.leaveAcceptedAt ??= Date.now();
    this.heardAt.set(target.id, performance.now());
    const entry = {
      service: group,
      address: `${link.address.host}:${link.address.port}`,
      zone,
      version: "v1",
      capacity: this.site.slots,
      state: isLeaving ? "draining" : "ready",
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

  private async refuseNodes(
    nodes: readonly number[],
    status: number,
    forMs: number,
  ): Promise<void> {
    for (const node of nodes) this.store.refusals.set(node, status);
    await sleep(forMs);
    for (const node of nodes) this.store.refusals.delete(node);
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

  private async cutRegions(regions: readonly [string, string], forMs: number): Promise<void> {
    this.network.cut(regions);
    await sleep(forMs);
    this.network.heal(regions);
    for (const { log } of this.groups) log.replicate();
  }
}
