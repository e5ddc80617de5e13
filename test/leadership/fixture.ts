import { ChangeLease } from "../../src/leadership/lease.js";
import {
  LeadershipTracker,
  PrimaryChanger,
  StallDetector,
  type LeadershipAnswer,
  type LeadershipDocument,
  type LeadershipPorts,
  type LeadershipUpdate,
  type PeerResult,
  type PromoteResult,
  type Proxy,
  type TargetAnswer,
  type VersionedLeadership,
} from "../../src/leadership/index.js";
import type { AnnouncedTarget } from "../../src/direct/index.js";
import type { RecordedTargets } from "../../src/feed/index.js";
import type { LogEvent, LogFields } from "../../src/log/index.js";
import type { StoreRead, StoreWrite } from "../../src/model/index.js";
import { singleRegion } from "../../src/topology/index.js";
import { FakeClock, makeRandom } from "../fleet/fakes.js";

/** A store with the leadership document, and the parts of proxies that share it. */
export class LeadershipFixture {
  readonly clock = new FakeClock();
  stored: VersionedLeadership | undefined;
  readonly logLines: { readonly event: LogEvent; readonly fields: LogFields }[] = [];
  /** The primary's answer to every status request. */
  targetAnswer: TargetAnswer = { type: "silent" };
  /** A replica's answer to every status request; undefined if the group has no replica. */
  replicaAnswer: TargetAnswer | undefined;
  /** Whether the store answers; otherwise no call to it has an effect. */
  isStoreAvailable = true;
  /** How the platform answers an order. */
  promote: () => Promise<PromoteResult> = () => Promise.resolve({ type: "accepted" });
  promotionCount = 0;
  /** The promoted targets, in order. */
  readonly promoted: string[] = [];
  topology = singleRegion;
  /** Replaces the group's targets; they answer status requests as `replicaAnswer` says. */
  otherTargets: readonly (Partial<AnnouncedTarget> & { readonly name: string })[] = [];
  /** Whether the entry of the primary `i-0` is still in the listing. */
  isPrimaryListed = true;
  /** Whether the list of proxies can be read for a change. */
  isProxyListReadable = true;
  /** All listed proxies. */
  proxies: readonly Proxy[] = [];
  /** How calls to the proxies end. */
  readonly states = new Map<string, PeerResult<never>["type"]>();
  /** The proxies that were called, in order. */
  readonly calls: string[] = [];
  readonly missed: string[] = [];
  groups: readonly string[] = ["ledger"];
  /** Whether a commit is acknowledged only once a replica has received it. */
  isSynchronous = false;
  recorded: RecordedTargets = { targets: [] };
  isRecordReadable = true;
  isPrimaryLeaving = false;
  /** The former targets that were removed from the record, in order. */
  readonly forgotten: string[] = [];
  /** Answers of single targets to status requests, by name. */
  readonly answers = new Map<string, TargetAnswer>();
  private version = 10;

  makeProxy(vm: string, wall: () => number = () => this.clock.now()) {
    const { clock } = this;
    const logger = {
      write: (event: LogEvent, fields: LogFields = {}) => this.logLines.push({ event, fields }),
    };
    const tracker = new LeadershipTracker({
      clock,
      logger,
      stallDetector: new StallDetector({ monotonic: () => clock.now(), wall }),
      listTargets: () => this.listTargets(),
      onStall: () => undefined,
      onContactFailure: () => undefined,
      onSuperseded: () => undefined,
      onSilence: () => undefined,
    });
    const store: LeadershipPorts["store"] = {
      read: () => Promise.resolve(this.readDocument()),
      write: (document) => Promise.resolve(this.writeDocument(document)),
    };
    const ports: LeadershipPorts = {
      vm,
      topology: this.topology,
      incarnation: `${vm}-1`,
      store,
      peers: {
        share: (proxy, update) => this.notify(proxy, update),
        askTarget: (proxy) => this.askThrough(proxy),
      },
      askTarget: ({ target }) =>
        Promise.resolve(this.answers.get(target) ?? this.getUsualAnswer(target)),
      promote: ({ target }) => {
        this.promotionCount += 1;
        this.promoted.push(target);
        return this.promote();
      },
      clock,
      random: makeRandom(1),
      logger,
      listProxies: () => this.proxies,
      listGroupProxies: () => this.proxies,
      refreshProxies: () => Promise.resolve(this.isProxyListReadable),
      markMissed: (proxy) => Promise.resolve(void this.missed.push(proxy.vm)),
      listTargets: () => this.listTargets(),
      records: {
        read: () => Promise.resolve(this.isRecordReadable ? this.recorded : undefined),
        forget: (_group, names) => Promise.resolve(void this.forgotten.push(...names)),
      },
      isSynchronous: (group) => {
        if (group !== "ledger") throw new Error(`${group} can't be checked`);
        return this.isSynchronous;
      },
      listGroups: () => this.groups,
    };
    return {
      lease: new ChangeLease(ports, tracker),
      changer: new PrimaryChanger(ports, tracker),
      tracker,
    };
  }

  /** Lets a proxy check its groups every 100 ms for a while. */
  async checkFor(changer: PrimaryChanger, ms: number): Promise<void> {
    for (const until = this.clock.time + ms; this.clock.time < until;) {
      changer.checkGroups();
      await this.clock.advance(100);
    }
  }

  /** A proxy in `states` that is running acknowledges the update and does not reach the primary. */
  private notify(proxy: Proxy, update: LeadershipUpdate): Promise<PeerResult<LeadershipAnswer>> {
    this.calls.push(proxy.vm);
    const type = this.states.get(proxy.vm) ?? "silent";
    if (type !== "answered") return Promise.resolve({ type });
    const answer = { ...update, vm: proxy.vm, listsAsker: true } as LeadershipAnswer;
    return Promise.resolve({ type, answer });
  }

  private askThrough(proxy: Proxy): Promise<PeerResult<TargetAnswer>> {
    this.calls.push(proxy.vm);
    const type = this.states.get(proxy.vm) ?? "silent";
    return Promise.resolve(type === "answered" ? { type, answer: { type: "silent" } } : { type });
  }

  private getUsualAnswer(target: string): TargetAnswer {
    return (target === "i-0" ? this.targetAnswer : this.replicaAnswer) ?? { type: "silent" };
  }

  listTargets(): readonly AnnouncedTarget[] {
    const listed = this.isPrimaryListed ? [{ ...primary, isLeaving: this.isPrimaryLeaving }] : [];
    if (this.replicaAnswer === undefined) return listed;
    if (this.otherTargets.length === 0) return [...listed, replica];
    return [...listed, ...this.otherTargets.map((change) => ({ ...replica, ...change }))];
  }

  private readDocument(): StoreRead<VersionedLeadership> {
    if (!this.isStoreAvailable) return { type: "unavailable", reason: "no answer in time" };
    return this.stored === undefined ? { type: "absent" } : { type: "found", value: this.stored };
  }

  private writeDocument(document: LeadershipDocument): StoreWrite {
    if (!this.isStoreAvailable) return { type: "unavailable", reason: "no answer in time" };
    this.version += 1;
    this.stored = { version: this.version, document };
    const object = { kind: "leadership", name: "current", version: this.version, value: null };
    return { type: "written", object };
  }
}

const primary = {
  name: "i-0",
  address: { host: "10.0.0.1", port: 5000 },
  dataCentre: "a",
  slots: 2,
  connections: 16,
  announcedRole: "primary" as const,
};
const replica = { ...primary, name: "i-1", announcedRole: "replica" as const };
