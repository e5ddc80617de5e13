import type { Mark } from "../model/index.js";
import type { PreparedDefinition, Work } from "./statement.js";
import type { Reply } from "./reply.js";

/** What is sent to a target on one connection. */
export type TargetCommand =
  /** With `atLeast`, refused unless the target's log holds that mark. */
  | { readonly type: "begin"; readonly isReadOnly: boolean; readonly atLeast?: Mark }
  | { readonly type: "rollback" }
  /** Clears the connection's values and prepared statements. */
  | { readonly type: "reset" }
  | { readonly type: "set"; readonly name: string; readonly value: string }
  | { readonly type: "prepare"; readonly prepared: PreparedDefinition }
  | { readonly type: "work"; readonly work: Work; readonly atLeast?: Mark }
  | { readonly type: "commit"; readonly id: string; readonly text: string }
  | { readonly type: "status" }
  /** Makes a primary of an older term a replica. */
  | { readonly type: "demote"; readonly round: number };

/** What came of a command. */
export type CommandResult =
  | { readonly type: "answered"; readonly reply: Reply }
  /** The connection broke or was given up. `sent`: the command may have reached the target. */
  | { readonly type: "broken"; readonly sent: boolean; readonly reason: string };

/** One connection to a target. One command at a time. */
export interface TargetLink {
  readonly target: string;
  readonly isUsable: boolean;
  /** Where the target's log ended when the connection was opened. */
  readonly openedAt: Mark | undefined;
  /**
   * Never rejects. Without an answer in `timeoutMs` the connection is closed, so that a late one
   * reaches nobody.
   */
  run(command: TargetCommand, timeoutMs: number): Promise<CommandResult>;
  close(): void;
}

/** What a target says of itself. */
export interface TargetReport {
  readonly role: "primary" | "replica";
  /** Where its log ends, as far as it has received it. */
  readonly received: Mark;
  /** The highest term that it was told of. */
  readonly round: number;
  readonly lagMs: number;
}
