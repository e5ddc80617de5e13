import type { StandinMember } from "./group.js";

/** The state of one connection. */
export interface LineSession {
  readonly values: Map<string, string>;
  readonly prepared: Map<string, string>;
  readonly number: number;
  transaction:
    | {
        readonly number: number;
        readonly isReadOnly: boolean;
        writes: Write[];
        hasStatements: boolean;
      }
    | undefined;
  hasFailed: boolean;
  isStarted: boolean;
  team: string;
  unparsed: string;
}

/** A write of a transaction that is open, or of a commit. */
export interface Write {
  readonly id: string;
  readonly item: string;
  readonly data: string;
}

/** Creates the state of a new connection, counted over its target. */
export function createLineSession(number: number): LineSession {
  return {
    values: new Map(),
    prepared: new Map(),
    number,
    transaction: undefined,
    hasFailed: false,
    isStarted: false,
    team: "",
    unparsed: "",
  };
}

/** The text that an execution of a prepared statement stands for; undefined without such a statement. */
export function expandWork(
  session: LineSession,
  [name = "", ...rest]: readonly string[],
): string | undefined {
  const definition = session.prepared.get(name);
  if (definition === undefined) return undefined;
  return `${definition.split(" ")[0] ?? ""} ${rest.join(" ")}`;
}

/** Finds the newest write of an item in a log. */
export function findLastWrite(log: StandinMember["log"], item: string): Write | undefined {
  for (let i = log.length - 1; i >= 0; i -= 1) {
    const write = log[i]?.writes.findLast((w) => w.item === item);
    if (write !== undefined) return write;
  }
  return undefined;
}
