import type { Logger } from "../log/index.js";
import type { Clock, Random } from "../model/index.js";
import type { ProxySettings } from "../settings/index.js";

/** What a proxy runs on. */
export interface ProxyPorts {
  readonly settings: ProxySettings;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly random: Random;
  /** Differs between two runs of the process on one VM, and grows. */
  readonly incarnation: string;
}
