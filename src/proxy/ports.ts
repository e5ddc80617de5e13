import type { Logger } from "../log/index.js";
import type { Clock, Random } from "../model/index.js";
import type { ProxySettings } from "../settings/index.js";

/** Dependencies of a `Proxy`. */
export interface ProxyPorts {
  readonly settings: ProxySettings;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly random: Random;
  /** Identifies this run of the process on its VM and grows with each run. */
  readonly incarnation: string;
}
