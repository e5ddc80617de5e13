import type { Mark } from "../model/index.js";
import type { PreparedDefinition, Work } from "./statement.js";
import type { Reply } from "./reply.js";

/** A command to a target on one connection. */
export type TargetCommand =
  /** With `atLeast`, the target refuses unless its log holds that mark. */
  | { readonly type: "begin"; readonly isReadOnly: boolean; readonly atLeast?: Mark }
  | { readonly type: "rollback" }
  /** Clears the session values and prepared statements of the connection. */
  | { readonly type: "reset" }
  | { readonly type: "set"; readonly name: string; readonly value: string }
  | { readonly type: "prepare"; readonly prepared: PreparedDefinition }
  | { readonly type: "work"; readonly work: Work; readonly atLeast?: Mark }
  | { readonly type: "commit"; readonly id: string; readonly text: string }
  | { readonly type: "status" }
  /** Makes the target a replica if it is the primary of a round before `round`. */
  | { readonly type: "demote"; readonly round: number };

/** The result of a command. */
export type CommandResult =
  | { readonly type: "answered"; readonly reply: Reply }
  /** The connection broke or was abandoned. `sent`: the command may have reached the target. */
  | { readonly type: "broken"; readonly sent: boolean; readonly reason: string };

/** A connection to a target. It carries one command at a time. */
export interface TargetLink {
  readonly target: string;
  readonly isUsable: boolean;
  /** Where the target's log ended when the connection was opened. */
  readonly openedAt: Mark | undefined;
  /**
   * Never rejects. Without an answer in `timeoutMs` the connection is closed, so that a late answer
   * can't be taken for that of a later command.
   */
  run(command: TargetCommand, timeoutMs: number): Promise<CommandResult>;
  close(): void;
}

/** The status that a target reports. */
export interface TargetReport {
  readonly role: "primary" | "replica";
  /** The end of the log that it has received. */
  readonly received: Mark;
  /** The highest round of a term that it has been told of. */
  readonly round: number;
  readonly lagMs: number;
}
