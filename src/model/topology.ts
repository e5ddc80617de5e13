/** The network address on which a proxy or a target listens. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** A data centre of the platform. */
export interface DataCentre {
  readonly name: string;
}

/** A machine of the platform that runs one proxy. `state` is reported by the platform, with a delay. */
export interface Vm {
  readonly name: string;
  readonly dataCentre: string;
  readonly peer: Address;
  readonly state: "live" | "leaving";
}

/** One database server of a group. The platform sets its limits. */
export interface Target {
  readonly name: string;
  readonly dataCentre: string;
  readonly address: Address;
  /** How many statements it executes at the same time. */
  readonly slots: number;
  /** How many connections it accepts, counted over all proxies. */
  readonly connections: number;
  /** True while the platform is removing the target, which then gets no new work. Absent means false. */
  readonly isLeaving?: boolean;
}

/** A logical database on several targets: one primary and its replicas. */
export interface Group {
  readonly name: string;
  readonly targets: readonly Target[];
}
