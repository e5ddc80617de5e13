import { z } from "zod";
import type { Address } from "../model/index.js";
import { parseAddress } from "./address.js";
import { formatDuration, parseDuration } from "./duration.js";
import { findClosestName } from "./closest-name.js";

interface Range {
  readonly min: number;
  readonly max: number;
}

/** Defines an object that rejects unknown keys and suggests the closest known one. */
export function defineObject<S extends z.core.$ZodLooseShape>(shape: S) {
  const known = Object.keys(shape);
  return z.strictObject(shape, {
    error: (issue) => {
      if (issue.code === "unrecognized_keys") {
        return issue.keys.map((key) => describeUnknownKey(key, known)).join("\n");
      }
      return `must be a map with ${known.join(", ")}`;
    },
  });
}

function describeUnknownKey(key: string, known: readonly string[]): string {
  const closest = findClosestName(key, known);
  const hint =
    closest === undefined ? `known keys are ${known.join(", ")}` : `did you mean ${closest}?`;
  return `unknown key ${key}; ${hint}`;
}

/** Defines a duration, read as milliseconds; `min` and `max` are durations with units as well. */
export function defineDuration(min: string, max: string) {
  const range = { min: parseDuration(min) ?? 0, max: parseDuration(max) ?? 0 };
  const error = `must be a duration from ${min} to ${max}, such as 500ms, 5s or 10m`;
  return z.string({ error }).transform((text, context): number => {
    const ms = parseDuration(text);
    if (ms !== undefined && isInRange(ms, range)) return ms;
    const given = ms === undefined ? `not ${text}` : `not ${formatDuration(ms)}`;
    context.addIssue({ code: "custom", message: `${error}; ${given}` });
    return z.NEVER;
  });
}

const sizeUnits = { B: 1, KiB: 1024, MiB: 1024 * 1024 } as const;

/** Defines a size with a unit, such as `16MiB`, read as bytes. */
export function defineSize(min: string, max: string) {
  const range = { min: parseSize(min) ?? 0, max: parseSize(max) ?? 0 };
  const error = `must be a size from ${min} to ${max}, such as 64KiB or 16MiB`;
  return z.string({ error }).transform((text, context): number => {
    const bytes = parseSize(text);
    if (bytes !== undefined && isInRange(bytes, range)) return bytes;
    context.addIssue({ code: "custom", message: `${error}; not ${text}` });
    return z.NEVER;
  });
}

function parseSize(text: string): number | undefined {
  const match = /^(\d+)(B|KiB|MiB)$/.exec(text);
  if (match === null) return undefined;
  return Number(match[1]) * sizeUnits[match[2] as keyof typeof sizeUnits];
}

function isInRange(value: number, { min, max }: Range): boolean {
  return value >= min && value <= max;
}

/** Defines a whole number; `unit` names what is counted, in error messages. */
export function defineCount(unit: string, min: number, max: number) {
  const error = `must be a whole number of ${unit} from ${min} to ${max}`;
  return z.int({ error }).min(min, { error }).max(max, { error });
}

/** Defines an address: an IP address and a port. */
export function defineAddress() {
  const error = "must be an IP address and a port, such as 10.0.1.11:6432 or [::1]:6432";
  return z.string({ error }).transform((text, context): Address => {
    const address = parseAddress(text);
    if (address !== undefined) return address;
    context.addIssue({ code: "custom", message: `${error}; not ${text}` });
    return z.NEVER;
  });
}

const maxNameLength = 63;

/** Defines a name: letters, digits, `_`, `-` and `.`, at most 63 of them. */
export function defineName() {
  const error = `must be a name of 1 to ${maxNameLength} letters, digits, _ - or .`;
  return z
    .string({ error })
    .max(maxNameLength, { error })
    .regex(/^[\p{L}\p{N}_.-]+$/u, { error });
}

/** Defines one of a set of strings; the fault suggests the closest one. */
export function defineChoice<const W extends readonly string[]>(choices: W) {
  return z.enum(choices, {
    error: (issue) => {
      const closest = findClosestName(String(issue.input), choices);
      const hint = closest === undefined ? "" : `; did you mean ${closest}?`;
      return `must be one of ${choices.join(", ")}${hint}`;
    },
  });
}
