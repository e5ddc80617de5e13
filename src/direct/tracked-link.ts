import type { PreparedDefinition, TargetCommand, TargetLink } from "../statement/index.js";

/** The session values and prepared statements that are set on a connection. */
export interface LinkState {
  readonly values: ReadonlyMap<string, string>;
  readonly prepared: ReadonlySet<string>;
}

/** The session values and prepared statement that a statement needs on its connection. */
export interface LinkRequirements {
  readonly values: ReadonlyMap<string, string>;
  readonly prepared: PreparedDefinition | undefined;
}

/** Above this number of prepared statements a connection is reset, to bound the target's memory. */
const maxPreparedStatements = 256;

/** The key of a prepared statement on a connection. Names chosen by different callers would collide. */
export function formatPreparedKey({ effect, shape }: PreparedDefinition): string {
  return `${effect}:${shape}`;
}

/**
 * Plans the commands that bring a connection into a session's state. Connections are shared between callers,
 * and a value left by another caller would change what this caller's statement does. Differing values are
 * set; a value that the session does not have can only be removed by a reset of the whole connection.
 */
export function planLinkSetup(
  state: LinkState,
  requirements: LinkRequirements,
): readonly TargetCommand[] {
  const hasForeignValue = [...state.values.keys()].some((name) => !requirements.values.has(name));
  const needsReset = hasForeignValue || state.prepared.size > maxPreparedStatements;
  const commands: TargetCommand[] = needsReset ? [{ type: "reset" }] : [];
  for (const [name, value] of requirements.values) {
    if (needsReset || state.values.get(name) !== value) commands.push({ type: "set", name, value });
  }
  const { prepared } = requirements;
  if (prepared !== undefined && (needsReset || !state.prepared.has(formatPreparedKey(prepared)))) {
    commands.push({ type: "prepare", prepared });
  }
  return commands;
}

/** A connection that tracks the session state set on it. */
export class TrackedLink {
  private readonly values = new Map<string, string>();
  private readonly prepared = new Set<string>();

  constructor(readonly link: TargetLink) {}

  get isUsable(): boolean {
    return this.link.isUsable;
  }

  close(): void {
    this.link.close();
  }

  /** Sets the required session state. On failure it closes the connection and returns false. */
  async prepare(requirements: LinkRequirements, timeoutMs: number): Promise<boolean> {
    for (const command of planLinkSetup(this.state, requirements)) {
      const result = await this.link.run(command, timeoutMs);
      if (result.type === "broken" || result.reply.end.type === "error") {
        this.close();
        return false;
      }
      this.recordCommand(command);
    }
    return true;
  }

  /** Checks by a reset that the target still answers, which also clears the session state. */
  async check(timeoutMs: number): Promise<boolean> {
    const reset: TargetCommand = { type: "reset" };
    const result = await this.link.run(reset, timeoutMs);
    this.recordCommand(reset);
    return result.type === "answered" && result.reply.state === "idle";
  }

  get state(): LinkState {
    return { values: this.values, prepared: this.prepared };
  }

  private recordCommand(command: TargetCommand): void {
    if (command.type === "reset") {
      this.values.clear();
      this.prepared.clear();
    }
    if (command.type === "set") this.values.set(command.name, command.value);
    if (command.type === "prepare") this.prepared.add(formatPreparedKey(command.prepared));
  }
}
