import { z } from "zod";
import type { Address } from "../model/index.js";
import { parseAddress } from "./address.js";
import { formatDuration, parseDuration } from "./duration.js";
import { findClosestName } from "./closest-name.js";

interface Range {
  readonly min: number;
  readonly max: number;
}

/** Defines an object that refuses unknown keys and names the nearest known one. */
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
  const nearest = findClosestName(key, known);
  const hint = nearest === undefined ? `known are ${known.join(", ")}` : `did you mean ${nearest}?`;
  return `unknown key ${key}; ${hint}`;
}

/** Defines a duration in milliseconds; both ends of its range are written with units, too. */
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

/** Defines a size in bytes, written such as `16MiB`. */
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

/** Defines a whole number of things named by `unit`. */
export function defineCount(unit: string, min: number, max: number) {
  const error = `must be a whole number of ${unit} from ${min} to ${max}`;
  return z.int({ error }).min(min, { error }).max(max, { error });
}

/** Defines an address: an IP number and a port. */
export function defineAddress() {
  const error = "must be an IP number and a port, such as 10.0.1.11:6432 or [::1]:6432";
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

/** Defines one of a few words; the fault names the nearest. */
export function defineChoice<const W extends readonly string[]>(words: W) {
  return z.enum(words, {
    error: (issue) => {
      const nearest = findClosestName(String(issue.input), words);
      const hint = nearest === undefined ? "" : `; did you mean ${nearest}?`;
      return `must be one of ${words.join(", ")}${hint}`;
    },
  });
}
