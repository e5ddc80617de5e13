import { z } from "zod";
import type { Json } from "../model/index.js";

const name = z.string();
const count = z.number();

/** The schema of a proxy's `/report`, which the proxy creates and `radishwalk status` reads. */
export const proxyReport = z.object({
  vm: name,
  dataCentre: name,
  incarnation: name,
  state: z.enum(["starting", "ready", "leaving"]),
  /** The configuration revision in force. */
  revision: z.int(),
  callers: z.int(),
  /** All VMs that the proxy knows, including its own. */
  members: z.array(
    z.object({
      name,
      dataCentre: name,
      host: name,
      port: z.int(),
      status: z.enum(["alive", "suspect", "leaving", "down"]),
    }),
  ),
  /** The groups that the proxy owns. */
  groups: z.array(
    z.object({
      group: name,
      /** The primary's term, as `round.vm`; absent while no primary is known. */
      term: name.optional(),
      primary: name.optional(),
      queued: z.int(),
      targets: z.array(
        z.object({
          target: name,
          role: z.enum(["primary", "replica", "unknown"]),
          /** The end of the target's log, as `offset@round.vm`. */
          mark: name.optional(),
          /** The number of records by which the target is behind the primary's last known mark. */
          lag: count.optional(),
          missedProbes: z.int(),
        }),
      ),
    }),
  ),
});

/** A proxy's report on itself to operators. */
export type ProxyReport = z.output<typeof proxyReport>;

/** Parses a report; returns `undefined` if the value does not match the schema. */
export function parseReport(value: Json): ProxyReport | undefined {
  return proxyReport.safeParse(value).data;
}
