import { z } from "zod";
import type { Json } from "../model/index.js";

const json = z.custom<Json>((value) => value !== undefined);
const address = z.object({ host: z.string(), port: z.int() });

/** An object as the platform sends it. */
export const storedObject = z.object({
  kind: z.string(),
  name: z.string(),
  version: z.int(),
  value: json,
});

/** The answer to a listing of a kind. */
export const objectList = z.object({ objects: z.array(storedObject) });

/** The answer to a watch: changes, and the version up to which they go. */
export const changeList = z.object({
  changes: z.array(
    z.discriminatedUnion("type", [
      z.object({ type: z.literal("changed"), object: storedObject }),
      z.object({ type: z.literal("removed"), kind: z.string(), name: z.string() }),
    ]),
  ),
  version: z.int(),
});

/** The platform's list of VMs. */
export const vmList = z.object({
  vms: z.array(
    z.object({
      name: z.string(),
      dataCentre: z.string(),
      peer: address,
      state: z.enum(["live", "leaving"]),
    }),
  ),
});

/** The database groups that the platform runs. */
export const groupList = z.object({
  groups: z.array(
    z.object({
      name: z.string(),
      targets: z.array(
        z.object({
          name: z.string(),
          dataCentre: z.string(),
          address,
          slots: z.int(),
          connections: z.int(),
        }),
      ),
    }),
  ),
});
