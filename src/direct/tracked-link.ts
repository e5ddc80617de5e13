import type { Prepared, TargetCommand, TargetLink } from "../statement/index.js";

/** The values and prepared statements that a connection or a session has. */
export interface LinkState {
  readonly values: ReadonlyMap<string, string>;
  readonly prepared: ReadonlySet<string>;
}

/** What a statement needs of its connection. */
export interface LinkRequirements {
  readonly values: ReadonlyMap<string, string>;
  readonly prepared: Prepared | undefined;
}

/** More statements than this on one connection are cleared away, to bound the target's memory. */
const maxPreparedStatements = 256;

/** The key of a prepared statement on a connection; callers' own names would collide. */
export function formatPreparedKey({ effect, shape }: Prepared): string {
  return `${effect}:${shape}`;
}

/**
 * The commands that make a connection fit for a session. Connections are shared between callers: a
 * value left by another would change what this caller's statement does, so what differs is set, and
 * what the session lacks can only go by clearing all.
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

/** A connection with what has been set on it. */
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

  /** Makes it fit for a session. False, and closed, when that did not go through. */
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

  /** Whether the target still answers; clears the connection on the way. */
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
