import type { GroupWatch } from "../groupwatch/index.js";
import { compareTerms, type Mark } from "../model/index.js";
import type { PlacedConnection, ServeContext } from "./context.js";
import type { ConfirmationResult, Confirmer } from "./filters/confirm.js";

/** How often the primary is asked for its log position before a commit counts as unconfirmed. */
const maxReadAttempts = 3;

/** Confirms writes through the group's watch, which reads log positions and collects confirmations. */
export class WatchConfirmer implements Confirmer {
  constructor(
    private readonly watch: GroupWatch,
    private readonly waitForPrimary: (signal: AbortSignal) => Promise<void>,
  ) {}

  async confirm(
    context: ServeContext,
    { target, term }: PlacedConnection,
  ): Promise<ConfirmationResult> {
    if (term === undefined)
      return { type: "unconfirmed", reason: "the term of the primary is unknown" };
    for (let attempt = 0; attempt < maxReadAttempts && !context.signal.aborted; attempt += 1) {
      const mode = context.request.action.acknowledgement;
      const reading = await this.watch.readMark(target.name, mode);
      if (reading.type === "unreachable") continue;
      if (reading.type === "notPrimary" || compareTerms(reading.term, term) !== 0) {
        return { type: "unconfirmed", reason: "the primary was superseded" };
      }
      return this.confirmMark(context, reading.mark, reading.askedAt);
    }
    return { type: "unconfirmed", reason: "the primary did not report its log position" };
  }

  /**
   * Finds a mark at or beyond every write acknowledged so far, confirmed by a majority. Undefined without
   * a primary, or if it could not be confirmed.
   */
  async findFloor(signal: AbortSignal): Promise<Mark | undefined> {
    await this.waitForPrimary(signal);
    const { primary } = this.watch.getView();
    if (primary === undefined) return undefined;
    const reading = await this.watch.readMark(primary.target);
    if (reading.type !== "read" || compareTerms(reading.term, primary.term) !== 0) return undefined;
    const { mark, askedAt } = reading;
    const confirmation = await this.watch.confirm(primary.term, mark, "witnessed", signal, askedAt);
    return confirmation.type === "confirmed" ? mark : undefined;
  }

  private async confirmMark(
    { request, signal }: ServeContext,
    mark: Mark,
    askedAt: number,
  ): Promise<ConfirmationResult> {
    const mode = request.action.acknowledgement;
    const confirmation = await this.watch.confirm(mark.term, mark, mode, signal, askedAt);
    switch (confirmation.type) {
      case "confirmed":
        return { type: "confirmed", mark };
      case "superseded":
        return { type: "unconfirmed", reason: "the primary was superseded" };
      case "timedOut":
        return { type: "unconfirmed", reason: "no majority confirmed the write in time" };
    }
  }
}
