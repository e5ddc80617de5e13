import { findReadRequirement, type DirectGroup, type SessionContext } from "../direct/index.js";
import type { Team } from "../model/index.js";
import type { ServedConnectionPorts } from "./served-ports.js";

/**
 * Why a step of another node is refused; undefined while it is served. A read for which a replica with a known log
 * position suffices may be served without a permit. Any other read would wait here for the permit, while another gateway
 * can run it.
 */
export function findStepRefusal(
  { direct, findRefusal, findReadRefusal }: ServedConnectionPorts,
  session: Pick<SessionContext, "database" | "lastCommit">,
  group: DirectGroup | undefined,
  isRead: boolean,
): string | undefined {
  // Queried before the required position is computed: a process that was suspended discards its positions by it.
  const refusal = findRefusal(session.database.group);
  if (refusal === undefined || group === undefined || !isRead) return refusal;
  const requirement = findReadRequirement({ ...session, group }, direct.clock.now());
  return requirement.type === "replica" ? findReadRefusal(session.database.group) : refusal;
}

/**
 * Finds the team of another node's session in this process's configuration. That node has already checked the caller's
 * key; the team's limits are applied here, where its statements are sent to targets.
 */
export function findServedTeam(
  { direct }: ServedConnectionPorts,
  name: string | undefined,
): Team | "unknown" | undefined {
  if (name === undefined) return undefined;
  return direct.getServingConfig().roster?.findByName(name) ?? "unknown";
}
