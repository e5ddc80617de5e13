import { z } from "zod";
import type { Json } from "../model/index.js";

const name = z.string();
const count = z.number();

/** The shape of a proxy's `/report`. The proxy builds it, `radishwalk status` reads it. */
export const proxyReport = z.object({
  vm: name,
  dataCentre: name,
  incarnation: name,
  state: z.enum(["starting", "ready", "leaving"]),
  /** The configuration revision in force. */
  revision: z.int(),
  callers: z.int(),
  /** The VMs that it knows, itself included. */
  members: z.array(
    z.object({
      name,
      dataCentre: name,
      host: name,
      port: z.int(),
      status: z.enum(["alive", "suspect", "leaving", "down"]),
    }),
  ),
  /** The groups that it owns. */
  groups: z.array(
    z.object({
      group: name,
      /** As `round.vm`; absent while no primary is known. */
      term: name.optional(),
      primary: name.optional(),
      queued: z.int(),
      targets: z.array(
        z.object({
          target: name,
          role: z.enum(["primary", "replica", "unknown"]),
          /** The end of its log, as `offset@round.vm`. */
          mark: name.optional(),
          /** Records behind the primary's last known mark. */
          lag: count.optional(),
          missedProbes: z.int(),
        }),
      ),
    }),
  ),
});

/** What a proxy says of itself to operators. */
export type ProxyReport = z.output<typeof proxyReport>;

/** Reads a report; `undefined` when the value is none. */
export function parseReport(value: Json): ProxyReport | undefined {
  return proxyReport.safeParse(value).data;
}
