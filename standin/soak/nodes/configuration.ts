import { formatDatabase, formatGroup, formatKey, type SoakSite } from "./site.js";

const txIdleMs = 3000;
const headerTimeoutMs = 3000;

/** Builds the configuration of a site as the operators write it, with some routes that nobody uses. */
export function buildConfiguration(site: SoakSite, version: number, extraRoutes: number): unknown {
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
  const unused = Array.from({ length: extraRoutes }, (_, index) => ({
    ...routes[index % routes.length],
    name: `r-unused-${index}`,
    host: `unused-${index}`,
  }));
  const services = groups.map((group) => ({
    name: formatGroup(group),
    "max-conns": site.connections,
    "sync-replicas": site.syncReplicas,
  }));
  const limits = { "tx-idle-ms": txIdleMs, "header-timeout-ms": headerTimeoutMs };
  const tenants = site.teams.map(({ name, ratePerSecond, burst }) => ({
    name,
    "api-keys": [formatKey(name)],
    ...(ratePerSecond === undefined ? {} : { "rate-per-s": ratePerSecond, burst }),
  }));
  const teams = tenants.length === 0 ? {} : { tenants };
  return { version, routes: [...routes, ...unused], services, limits, ...teams };
}
