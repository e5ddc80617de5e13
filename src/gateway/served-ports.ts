import type { DirectPorts, GroupDirectory, RedirectDestinations } from "../direct/index.js";
import type { TokenGrant } from "../rates/index.js";

/** The environment of a `ServedConnection`. */
export interface ServedConnectionPorts {
  readonly direct: DirectPorts;
  readonly groups: GroupDirectory;
  /** Why this process does not serve a group now; undefined while it does. */
  readonly findRefusal: (group: string) => string | undefined;
  /** The same for a read that replicas may answer. */
  readonly findReadRefusal: (group: string) => string | undefined;
  readonly nextId: () => string;
  /** Transfers tokens of a team to the node that asks. */
  readonly grantTokens: (team: string, wanted: number) => TokenGrant;
  /** The processes that may run a read of a group instead of this one. */
  readonly findRedirectDestinations: (group: string) => RedirectDestinations;
}
