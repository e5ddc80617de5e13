import type { Row } from "../value.js";
import type { Field } from "./projection.js";

/** A statement's result: its command tag, and rows if it has `fields`. */
export interface Result {
  readonly fields?: readonly Field[];
  readonly rows: readonly Row[];
  readonly tag: string;
}
