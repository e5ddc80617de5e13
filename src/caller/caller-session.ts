import type { Mark } from "../model/index.js";
import {
  applyStep,
  describeToken,
  type Session,
  type SessionFailure,
  type SessionLimits,
  type SessionStep,
  signToken,
  type TokenKey,
} from "../session/index.js";
import { encodeParameterStatus } from "./message.js";
import type { CallerOutput } from "./output.js";
import { tokenParameter } from "./startup.js";

/** Holds a session's state and tells the caller its token whenever the marks have grown. */
export class CallerSession {
  constructor(
    private session: Session,
    private readonly output: CallerOutput,
    private readonly limits: SessionLimits,
    private readonly tokenKeys: () => readonly TokenKey[],
  ) {}

  get state(): Session {
    return this.session;
  }

  /** Applies steps up to the first that fails. */
  apply(steps: readonly SessionStep[]): SessionFailure | undefined {
    for (const step of steps) {
      const result = applyStep(this.session, step, this.limits);
      if (result.type === "failed") return result.failure;
      this.session = result.state;
      if (result.effects.length > 0) this.sendToken();
    }
    return undefined;
  }

  /** The session must see `mark` from now on. */
  recordMark(mark: Mark | undefined): void {
    if (mark !== undefined) this.apply([{ type: "see", group: this.session.group, mark }]);
  }

  /** The token that the session would take along now. */
  signToken(): string {
    return signToken(describeToken(this.session), this.tokenKeys());
  }

  private sendToken(): void {
    void this.output.write(encodeParameterStatus(tokenParameter, this.signToken()));
  }
}
