import type { AnnouncedGroup } from "../../src/direct/index.js";
import type { Proxy } from "../../src/leadership/index.js";

/** Creates a listed proxy that accepts other nodes' statements. */
export function makeProxy(index: number, dataCentre = "a"): Proxy {
  const host = `10.0.${Math.floor(index / 250)}.${(index % 250) + 1}`;
  return {
    vm: `vm-${index}`,
    address: { host, port: 7000 },
    dataCentre,
    gateway: { host, port: 7440 },
    power: 0.3,
  };
}

/** Creates a group with one target in each data centre; the first target is the primary. */
export function makeGroup(options: {
  readonly connections: number;
  readonly dataCentres: readonly string[];
}): AnnouncedGroup {
  const targets = options.dataCentres.map((dataCentre, i) => ({
    name: `t-${i}`,
    address: { host: "10.1.0.1", port: 5000 + i },
    dataCentre,
    slots: 2,
    connections: options.connections,
    announcedRole: i === 0 ? ("primary" as const) : ("replica" as const),
  }));
  return { name: "ledger", connections: options.connections, targets };
}
