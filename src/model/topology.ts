/** Where a process of the system or a target listens. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** A data centre of the platform. */
export interface DataCentre {
  readonly name: string;
}

/** A machine of the platform that runs one proxy. `leaving` is the platform's word, which lags. */
export interface Vm {
  readonly name: string;
  readonly dataCentre: string;
  readonly peer: Address;
  readonly state: "live" | "leaving";
}

/** One database server of a group. Rates and limits are those of the platform. */
export interface Target {
  readonly name: string;
  readonly dataCentre: string;
  readonly address: Address;
  /** Statements it works on at once. */
  readonly slots: number;
  /** Connections it accepts, from all proxies together. */
  readonly connections: number;
  /** The platform is taking it away: it gets no new work. Absent means that it stays. */
  readonly isLeaving?: boolean;
}

/** A database group: one logical database on several targets, of which one is primary. */
export interface Group {
  readonly name: string;
  readonly targets: readonly Target[];
}
