import { type DirectGroup, type DirectPorts, type GroupDirectory } from "../direct/index.js";
import type { GatewayLoad } from "../peer/gen/radishwalk/direct/v1/gateway_pb.js";
import { encodeLoad } from "./load-codec.js";
import {
  chooseReportTargets,
  computeFigures,
  listStatementKinds,
  makeKindRequest,
  type LoadFigures,
  type LoadRole,
  type StatementKind,
} from "./load-figures.js";
import { chooseReportRole, type SentTimes } from "./load-report.js";

/** The environment of a `LoadSource`. */
export interface LoadSourcePorts {
  readonly direct: DirectPorts;
  readonly groups: GroupDirectory;
  /** Why this process does not serve a group now; undefined while it does. */
  readonly findRefusal: (group: string) => string | undefined;
}

/** The oldest figures that an answer reports, so that many connections share one estimate. In milliseconds. */
const maxFiguresAgeMs = 25;
/** The same with a refusal, which the figures must explain. */
const maxFiguresAgeAtRefusalMs = 5;

interface CachedFigures {
  readonly figures: LoadFigures | undefined;
  readonly at: number;
}

/** This process's load as a gateway, shared by its connections to other nodes. */
export class LoadSource {
  private readonly cached = new Map<string, CachedFigures>();
  /** The kinds of statements of each group, for the configuration from which they were listed. */
  private kinds = new Map<string, readonly StatementKind[]>();
  private kindsConfig: object | undefined;

  constructor(private readonly ports: LoadSourcePorts) {}

  get now(): number {
    return this.ports.direct.clock.now();
  }

  /** Whether loads are reported at all. */
  get isActive(): boolean {
    return this.ports.direct.isSlotPlanned();
  }

  /** Describes the load of a group's targets; undefined while this process serves none of them. */
  find(name: string, role: LoadRole, isRefusal: boolean): GatewayLoad | undefined {
    const group = this.ports.groups.find(name);
    if (group === undefined || !this.holdsConnections(name)) return undefined;
    const key = `${role} ${name}`;
    const { now } = this;
    const limitMs = isRefusal ? maxFiguresAgeAtRefusalMs : maxFiguresAgeMs;
    const known = this.cached.get(key);
    const isFresh = known !== undefined && now - known.at <= limitMs;
    const { figures, at } = isFresh ? known : { figures: this.compute(group, role), at: now };
    if (!isFresh) this.cached.set(key, { figures, at });
    if (figures === undefined) return undefined;
    return encodeLoad({ ...figures, group: name, role, ageMs: now - at });
  }

  private holdsConnections(name: string): boolean {
    const { direct, findRefusal } = this.ports;
    if (findRefusal(name) !== undefined) return false;
    const targets = direct.getServingConfig().groups.get(name)?.targets ?? [];
    return targets.some((t) => direct.findShareRule(name, t.dataCentre).type !== "none");
  }

  /** Lists a group's kinds of statements. Kept, as that takes a pass over the databases of all groups. */
  private listKinds(group: string): readonly StatementKind[] {
    const config = this.ports.direct.getServingConfig();
    if (this.kindsConfig !== config) {
      this.kinds = new Map();
      this.kindsConfig = config;
    }
    const known = this.kinds.get(group);
    if (known !== undefined) return known;
    const kinds = listStatementKinds(config, group);
    this.kinds.set(group, kinds);
    return kinds;
  }

  private compute(group: DirectGroup, role: LoadRole): LoadFigures | undefined {
    const { direct } = this.ports;
    const { now } = this;
    const primary = direct.primaries.find(group.name);
    const chosen = chooseReportTargets(role, primary, group.listCandidates(""), now);
    switch (chosen.type) {
      case "unknown":
        return undefined;
      case "targets": {
        const kinds = this.listKinds(group.name);
        const own = kinds.filter(({ usesReplicas }) => role === "primary" || usesReplicas);
        return computeFigures(own, (kind) =>
          group.slots.preview(makeKindRequest(kind, chosen.names, now)),
        );
      }
    }
  }
}

/** Decides which answers on one connection report a load. */
export class LoadReporter {
  private readonly sent = new Map<string, SentTimes>();

  constructor(private readonly source: LoadSource) {}

  /** The report that goes with an answer to a statement; undefined where none is due. */
  findReport(group: string, concerned: LoadRole, isRefusal: boolean): GatewayLoad | undefined {
    if (!this.source.isActive) return undefined;
    const { now } = this.source;
    const sent = this.sent.get(group) ?? {};
    const role = chooseReportRole(sent, concerned, isRefusal, now);
    if (role === undefined) return undefined;
    const report = this.source.find(group, role, isRefusal);
    this.sent.set(group, { ...sent, [role]: now });
    return report;
  }
}
