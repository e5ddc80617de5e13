import { SqlError } from "./error.js";

/** An SQL value, limited to JSON types because log records are sent as JSON. */
export type Value = null | boolean | number | string;

/** The values of one row, in the order of the table's columns. */
export type Row = readonly Value[];

/** A data type with its catalogue name and object id. */
export interface DataType {
  readonly name: string;
  readonly oid: number;
}

const oids: Readonly<Record<string, number>> = {
  bool: 16,
  bytea: 17,
  int8: 20,
  int2: 21,
  int4: 23,
  text: 25,
  json: 114,
  float4: 700,
  float8: 701,
  bpchar: 1042,
  varchar: 1043,
  date: 1082,
  timestamp: 1114,
  timestamptz: 1184,
  numeric: 1700,
  void: 2278,
  uuid: 2950,
  jsonb: 3802,
};

const integers: ReadonlySet<string> = new Set(["int2", "int4", "int8"]);
const numbers: ReadonlySet<string> = new Set([...integers, "float4", "float8", "numeric"]);

/** Finds a data type by its catalogue name, such as `int4`. */
export function findType(name: string): DataType {
  const oid = oids[name];
  if (oid === undefined) throw new SqlError("42704", `type "${name}" does not exist`);
  return { name, oid };
}

/** Whether values of a type are numbers. */
export function isNumeric(type: DataType): boolean {
  return numbers.has(type.name);
}

/** Converts a value to a type, as a cast or an assignment does. */
export function castValue(value: Value, type: DataType): Value {
  if (value === null) return null;
  if (type.name === "bool") return castBoolean(value);
  if (!isNumeric(type)) return formatValue(value);
  return castNumber(value, type);
}

function castBoolean(value: Value): boolean {
  if (typeof value === "boolean") return value;
  const text = String(value).toLowerCase();
  if (["t", "true", "1", "yes", "on"].includes(text)) return true;
  if (["f", "false", "0", "no", "off"].includes(text)) return false;
  throw new SqlError("22P02", `invalid input syntax for type boolean: "${text}"`);
}

function castNumber(value: Value, type: DataType): number {
  const number = typeof value === "string" && value.trim() === "" ? NaN : Number(value);
  if (Number.isNaN(number)) {
    throw new SqlError("22P02", `invalid input syntax for type ${type.name}: "${String(value)}"`);
  }
  return integers.has(type.name) ? Math.round(number) : number;
}

/** Formats a value in the protocol's text format, which has none for `null`. */
export function formatValue(value: Exclude<Value, null>): string {
  if (typeof value === "boolean") return value ? "t" : "f";
  return String(value);
}

/** Compares two non-null values; text is converted when the other is a number. */
export function compareValues(a: Exclude<Value, null>, b: Exclude<Value, null>): number {
  if (typeof a === "string" && typeof b === "string") return a < b ? -1 : a > b ? 1 : 0;
  if (typeof a === "boolean" || typeof b === "boolean") {
    return Number(castBoolean(a)) - Number(castBoolean(b));
  }
  return toNumber(a) - toNumber(b);
}

/** Converts a value to a number for arithmetic. */
export function toNumber(value: Exclude<Value, null>): number {
  return castNumber(value, { name: "numeric", oid: 1700 });
}
