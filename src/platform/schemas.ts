import { z } from "zod";
import type { Json } from "../model/index.js";

const jsonSchema = z.custom<Json>((value) => value !== undefined);
const addressSchema = z.object({ host: z.string(), port: z.int() });

/** An object as the platform sends it. */
export const storedObjectSchema = z.object({
  kind: z.string(),
  name: z.string(),
  version: z.int(),
  value: jsonSchema,
});

/** The answer to a listing of a kind. */
export const objectListSchema = z.object({ objects: z.array(storedObjectSchema) });

/** The answer to a watch: changes, and the version up to which they go. */
export const changeListSchema = z.object({
  changes: z.array(
    z.discriminatedUnion("type", [
      z.object({ type: z.literal("changed"), object: storedObjectSchema }),
      z.object({ type: z.literal("removed"), kind: z.string(), name: z.string() }),
    ]),
  ),
  version: z.int(),
});

/** The platform's list of VMs. */
export const vmListSchema = z.object({
  vms: z.array(
    z.object({
      name: z.string(),
      dataCentre: z.string(),
      peer: addressSchema,
      state: z.enum(["live", "leaving"]),
    }),
  ),
});

/** The database groups that the platform runs. */
export const groupListSchema = z.object({
  groups: z.array(
    z.object({
      name: z.string(),
      targets: z.array(
        z.object({
          name: z.string(),
          dataCentre: z.string(),
          address: addressSchema,
          slots: z.int(),
          connections: z.int(),
        }),
      ),
    }),
  ),
});
