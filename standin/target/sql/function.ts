import { randomUUID } from "node:crypto";
import { SqlError } from "../error.js";
import { compareValues, formatValue, toNumber, type Value } from "../value.js";
import type { StatementContext } from "./scope.js";

type NonNullValue = Exclude<Value, null>;

/** Functions that return null when an argument is null. */
const strictFunctions: Readonly<Record<string, (...args: NonNullValue[]) => Value>> = {
  lower: (a = "") => formatValue(a).toLowerCase(),
  upper: (a = "") => formatValue(a).toUpperCase(),
  length: (a = "") => formatValue(a).length,
  repeat: (a = "", n = 0) => formatValue(a).repeat(Math.max(0, toNumber(n))),
  abs: (a = 0) => Math.abs(toNumber(a)),
  mod: (a = 0, b = 1) => toNumber(a) % toNumber(b),
  greatest: (...args) => args.reduce((a, b) => (compareValues(a, b) >= 0 ? a : b)),
  least: (...args) => args.reduce((a, b) => (compareValues(a, b) <= 0 ? a : b)),
  pg_sleep: () => "",
  set_config: (...args) => args[1] ?? "",
};

const contextFunctions: Readonly<Record<string, (context: StatementContext) => Value>> = {
  now: (context) => context.now,
  clock_timestamp: () => new Date().toISOString(),
  random: () => Math.random(),
  gen_random_uuid: () => randomUUID(),
  pg_is_in_recovery: (context) => context.isReplica,
  version: () => "PostgreSQL 17.0 (radishwalk stand-in)",
  current_database: () => "standin",
};

/** Calls a scalar function. */
export function runFunction(
  name: string,
  args: readonly Value[],
  context: StatementContext,
): Value {
  if (name === "concat") return args.map((a) => (a === null ? "" : formatValue(a))).join("");
  const contextFunction = contextFunctions[name];
  if (contextFunction !== undefined) return contextFunction(context);
  const call = strictFunctions[name];
  if (call === undefined) throw new SqlError("42883", `function ${name} does not exist`);
  const nonNull = args.filter((a) => a !== null);
  return nonNull.length < args.length ? null : call(...nonNull);
}

/** Aggregate functions over the non-null values of a group. */
const aggregates: Readonly<Record<string, (values: readonly NonNullValue[]) => Value>> = {
  count: (values) => values.length,
  sum: (values) => (values.length === 0 ? null : sumValues(values)),
  avg: (values) => (values.length === 0 ? null : sumValues(values) / values.length),
  min: (values) => findExtreme(values, -1),
  max: (values) => findExtreme(values, 1),
};

function sumValues(values: readonly NonNullValue[]): number {
  return values.reduce((total: number, v) => total + toNumber(v), 0);
}

function findExtreme(values: readonly NonNullValue[], sign: number): Value {
  const [first, ...rest] = values;
  return first === undefined
    ? null
    : rest.reduce((a, b) => (compareValues(b, a) * sign > 0 ? b : a), first);
}

/** Whether `name` is an aggregate function. */
export function isAggregate(name: string): boolean {
  return Object.hasOwn(aggregates, name);
}

/** Computes an aggregate over the values of a group. */
export function runAggregate(name: string, values: readonly Value[]): Value {
  const nonNull = values.filter((v) => v !== null);
  return aggregates[name]?.(nonNull) ?? null;
}
