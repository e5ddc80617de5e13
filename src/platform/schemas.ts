import { z } from "zod";
import type { Json } from "../model/index.js";

const jsonSchema = z.custom<Json>((value) => value !== undefined);
const addressSchema = z.object({ host: z.string(), port: z.int() });

/** One stored object. */
export const storedObjectSchema = z.object({
  kind: z.string(),
  name: z.string(),
  version: z.int(),
  value: jsonSchema,
});

/** The answer to a request for all objects of a kind. */
export const objectListSchema = z.object({ objects: z.array(storedObjectSchema) });

/** The answer to one long poll of a watch: the changes up to `version`, where the next poll continues. */
export const changeListSchema = z.object({
  changes: z.array(
    z.discriminatedUnion("type", [
      z.object({ type: z.literal("changed"), object: storedObjectSchema }),
      z.object({ type: z.literal("removed"), kind: z.string(), name: z.string() }),
    ]),
  ),
  version: z.int(),
});

/** The answer to a request for the VMs. */
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

/** The answer to a request for the database groups and their targets. */
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
