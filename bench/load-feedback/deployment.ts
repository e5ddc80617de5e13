import type { AnnouncedGroup, Database, ServingConfig } from "../../src/direct/index.js";
import { emptyServingConfig } from "../../src/direct/index.js";
import type { Proxy } from "../../src/leadership/index.js";
import type { Route } from "../../src/model/index.js";
import {
  kinds,
  primaryTarget,
  replicaTargets,
  slotsPerTarget,
  type KindShape,
} from "../levels/workload.js";
import { computeMaxQueueMs } from "../levels/world.js";

/** The name of the group that is played. */
export const group = "ledger";

/** The data centres; each has one target, the primary is in the first. */
export const dataCentres = ["a", "b", "c"] as const;

const connections = 56;
/** Listed proxies in each data centre. */
const listedPerCentre = 9;

/** The group as the nodes know it. */
export const announced: AnnouncedGroup = {
  name: group,
  connections,
  targets: [primaryTarget, ...replicaTargets].map((name, i) => ({
    name,
    address: { host: "10.1.0.1", port: 5000 + i },
    dataCentre: dataCentres[i] ?? "a",
    slots: slotsPerTarget,
    connections,
    announcedRole: i === 0 ? "primary" : "replica",
  })),
};

/** The routes of deployment B. */
export const config: ServingConfig = {
  ...emptyServingConfig,
  revision: 1,
  databases: new Map(kinds.map((shape) => [shape.kind, toDatabase(shape)])),
  groups: new Map([[group, announced]]),
};

/** The listed proxies, of which the group's gateways are chosen. */
export const proxies: readonly Proxy[] = dataCentres.flatMap((dataCentre, centre) =>
  Array.from({ length: listedPerCentre }, (_, i) => {
    const host = `10.0.${centre}.${i + 1}`;
    const address = { host, port: 7000 };
    return { vm: `${dataCentre}-${i}`, address, dataCentre, gateway: { host, port: 7440 } };
  }),
);

function toDatabase(shape: KindShape): Database {
  const { kind, level, objectiveMs, deadlineMs, priority } = shape;
  return {
    name: kind,
    group,
    action: {
      type: "serve",
      route: findRoute(shape),
      priority,
      deadlineMs,
      maxQueueMs: computeMaxQueueMs(shape),
      retry: { attempts: 0 },
      acknowledgement: "witnessed",
      level,
      objectiveMs,
    },
  };
}

function findRoute({ kind }: KindShape): Route {
  switch (kind) {
    case "primary":
      return { type: "primary" };
    case "readYourWrites":
      return { type: "replica", maxAgeMs: 1500 };
    case "stale":
      return { type: "stale", maxAgeMs: 1500 };
  }
}
