import { createUnsupportedError, SqlError } from "../error.js";
import { compareValues, formatValue, toNumber, type Value } from "../value.js";

type NonNullValue = Exclude<Value, null>;

const operators: Readonly<Record<string, (a: NonNullValue, b: NonNullValue) => Value>> = {
  "=": (a, b) => compareValues(a, b) === 0,
  "<>": (a, b) => compareValues(a, b) !== 0,
  "<": (a, b) => compareValues(a, b) < 0,
  "<=": (a, b) => compareValues(a, b) <= 0,
  ">": (a, b) => compareValues(a, b) > 0,
  ">=": (a, b) => compareValues(a, b) >= 0,
  "+": (a, b) => toNumber(a) + toNumber(b),
  "-": (a, b) => toNumber(a) - toNumber(b),
  "*": (a, b) => toNumber(a) * toNumber(b),
  "/": resolveQuotient,
  "%": (a, b) => toNumber(a) % toNumber(b),
  "||": (a, b) => formatValue(a) + formatValue(b),
};

function resolveQuotient(a: NonNullValue, b: NonNullValue): Value {
  const divisor = toNumber(b);
  if (divisor === 0) throw new SqlError("22012", "division by zero");
  const quotient = toNumber(a) / divisor;
  const isIntegral = Number.isInteger(toNumber(a)) && Number.isInteger(divisor);
  return isIntegral ? Math.trunc(quotient) : quotient;
}

/** Applies a binary operator; the result is null when an operand is null. */
export function applyOperator(name: string, a: Value, b: Value): Value {
  const operator = operators[name];
  if (operator === undefined) throw createUnsupportedError(`operator ${name}`);
  return a === null || b === null ? null : operator(a, b);
}

/** Applies LIKE, NOT LIKE, ILIKE or NOT ILIKE, given as `~~`, `!~~`, `~~*` or `!~~*`. */
export function isMatch(value: Value, pattern: Value, name: string): Value {
  if (value === null || pattern === null) return null;
  const source = formatValue(pattern)
    .replace(/[.*+?^${}()|[\]\\]/g, "\\$&")
    .replaceAll("%", ".*")
    .replaceAll("_", ".");
  const flags = name.endsWith("*") ? "is" : "s";
  return new RegExp(`^${source}$`, flags).test(formatValue(value)) !== name.startsWith("!");
}

/** Whether a condition's value is true; null is not. */
export function isTrue(value: Value): boolean {
  return value === true || value === "t" || value === "true";
}
