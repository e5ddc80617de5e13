import type { Mark } from "../model/index.js";
import {
  applyStep,
  getTokenContent,
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

/** Holds a session's state and sends the caller a new token whenever its marks advance. */
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

  /** Applies the steps up to the first that fails, and returns why it fails. */
  apply(steps: readonly SessionStep[]): SessionFailure | undefined {
    for (const step of steps) {
      const result = applyStep(this.session, step, this.limits);
      if (result.type === "failed") return result.failure;
      this.session = result.state;
      if (result.effects.length > 0) this.sendToken();
    }
    return undefined;
  }

  /** Records a mark; later reads of the session must see at least this position. */
  recordMark(mark: Mark | undefined): void {
    if (mark !== undefined) this.apply([{ type: "see", group: this.session.group, mark }]);
  }

  /** Signs a token of the session's current state. */
  signToken(): string {
    return signToken(getTokenContent(this.session), this.tokenKeys());
  }

  private sendToken(): void {
    void this.output.write(encodeParameterStatus(tokenParameter, this.signToken()));
  }
}
