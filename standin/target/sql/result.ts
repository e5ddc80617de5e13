import type { Row } from "../value.js";
import type { Field } from "./projection.js";

/** What a statement answers: rows where it has fields, and its command tag. */
export interface Result {
  readonly fields?: readonly Field[];
  readonly rows: readonly Row[];
  readonly tag: string;
}
