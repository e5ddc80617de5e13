import { setTimeout as sleep } from "node:timers/promises";
import type { StatementOutcome, Row, Statement } from "./caller.js";
import type { SoakContext } from "./context.js";
import { checkOwnRead, type Booking, type WriteOutcome } from "./ledger.js";
import type { RandomStream } from "./random.js";
import type { Session } from "./session.js";

const operations = [
  "reserve",
  "reserve",
  "reserveKeyed",
  "reserveKeyed",
  "reservePrepared",
  "confirm",
  "confirm",
  "transact",
  "abandon",
  "readOwn",
  "readOwn",
  "readOwnPrepared",
  "browse",
  "readLarge",
  "readSeries",
] as const;

type Values = Pick<Statement, "values">;
type Operation = (typeof operations)[number];

const keyedTries = 120;
const keyedPauseMs = 250;
const undefinedTable = "42P01";
const largeRepeats = 40_000;
const seriesRows = 400;

/** Runs random operations of one session during one round, on the table of the round. */
export class Worker {
  private readonly own: Booking[] = [];
  private counter = 0;

  constructor(
    private readonly session: Session,
    private readonly context: SoakContext,
    private readonly random: RandomStream,
    private readonly table: string,
  ) {}

  /** Runs operations until `isOver`. A keyed write in progress is still repeated until it is acknowledged. */
  async run(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      await this.runOperation(this.random.pick(operations));
      await sleep(this.random.nextInteger(2, 25));
    }
    await this.session.leaveProxy();
  }

  private runOperation(operation: Operation): Promise<void> {
    switch (operation) {
      case "reserve":
        return this.reserve();
      case "reserveKeyed":
        return this.reserveKeyed();
      case "reservePrepared":
        return this.reservePrepared();
      case "confirm":
        return this.confirm();
      case "transact":
        return this.transact(false);
      case "abandon":
        return this.transact(true);
      case "readOwn":
        return this.readOwn(false);
      case "readOwnPrepared":
        return this.readOwn(true);
      case "browse":
        return this.browse();
      case "readLarge":
        return this.readLarge();
      case "readSeries":
        return this.readSeries();
    }
  }

  private async reserve(): Promise<void> {
    const booking = this.addBooking();
    this.recordResult(
      booking,
      await this.session.runStatement("reserve", { text: this.buildInsert(booking) }),
    );
  }

  private async reserveKeyed(): Promise<void> {
    const booking = this.addBooking();
    const text = `${this.buildInsert(booking)} /*idempotency_key='${booking.id}'*/`;
    for (let i = 0; i < keyedTries; i += 1) {
      const result = await this.session.runStatement("reserveKeyed", { text });
      if (result.type === "answered") {
        this.setOutcome(booking, "landed");
        return;
      }
      await sleep(keyedPauseMs);
    }
    const description = `keyed write of row ${booking.id} was not acknowledged in ${keyedTries} tries`;
    this.context.reportBreach(description, [booking.id, this.session.options.name]);
  }

  private async reservePrepared(): Promise<void> {
    const booking = this.addBooking();
    const text = `INSERT INTO ${this.table} (id, session, confirmed) VALUES ($1, $2, 0)`;
    const values = [booking.id, booking.session];
    this.recordResult(
      booking,
      await this.session.runStatement("reservePrepared", { name: "add", text, values }),
    );
  }

  private async confirm(): Promise<void> {
    const stored = this.listStoredRows();
    if (stored.length === 0) return;
    const booking = this.random.pick(stored);
    const text = `UPDATE ${this.table} SET confirmed = confirmed + 1 WHERE id = '${booking.id}'`;
    booking.uncertain += 1;
    const outcome = toWriteOutcome(await this.session.runStatement("confirm", { text }));
    if (outcome !== "unknown") booking.uncertain -= 1;
    if (outcome === "landed") booking.confirmed += 1;
  }

  /** Inserts two rows in a transaction. A caller that disconnects before its `COMMIT` must leave neither. */
  private async transact(isAbandoned: boolean): Promise<void> {
    const first = this.addBooking();
    const second = this.addBooking(first.transactionId);
    const operation = isAbandoned ? "abandon" : "transact";
    const isFilled = await this.fillTransaction(operation, [first, second]);
    if (!isFilled || isAbandoned) {
      this.session.abort();
      this.setBothOutcomes(first, second, "absent");
      return;
    }
    const result = await this.session.runOnSameConnection(operation, { text: "COMMIT" });
    const isRolledBack = result.type === "answered" && result.tag === "ROLLBACK";
    this.setBothOutcomes(first, second, isRolledBack ? "absent" : toWriteOutcome(result));
  }

  private async fillTransaction(operation: string, rows: readonly Booking[]): Promise<boolean> {
    const started = await this.session.runStatement(operation, { text: "BEGIN" });
    if (started.type !== "answered") return false;
    for (const row of rows) {
      const result = await this.session.runOnSameConnection(operation, {
        text: this.buildInsert(row),
      });
      if (result.type !== "answered") return false;
    }
    return true;
  }

  private async readOwn(isPrepared: boolean): Promise<void> {
    const { name } = this.session.options;
    const condition = isPrepared ? "session = $1" : `session = '${name}'`;
    const values = isPrepared ? { values: [name] } : {};
    await this.readChecked("readOwn", `WHERE ${condition}`, values);
  }

  /**
   * Runs a stale read, which must still reflect the writes of its own session. A session without a
   * token may read older data under a rule with a maximum age, so nothing is checked for it.
   */
  private browse(): Promise<void> {
    return this.readChecked("browse", "/*kind='browse'*/", {});
  }

  private async readChecked(operation: string, rest: string, values: Values): Promise<void> {
    const { name, hasToken } = this.session.options;
    const isChecked = hasToken || operation === "readOwn";
    const known = isChecked
      ? this.listStoredRows().map(({ id, confirmed }) => ({ id, confirmed }))
      : [];
    const nonce = this.createNonce();
    const text = `SELECT id, confirmed, '${nonce}' AS nonce FROM ${this.table} ${rest}`;
    const result = await this.session.runStatement(operation, { text, ...values });
    // A session without a token sees everything acknowledged before, so also the table of this round.
    const mustSeeTable = known.length > 0 || (operation === "readOwn" && !hasToken);
    if (mustSeeTable && result.type === "failed" && result.code === undefinedTable) {
      const description = `${operation}: a read misses a table that was created before`;
      this.context.reportBreach(description, [known[0]?.id ?? name, name]);
    }
    if (result.type !== "answered") return;
    this.checkNonces(nonce, result.rows);
    const isAbsent = (id: string) => this.context.ledger.find(id)?.outcome === "absent";
    const read = result.rows.map((r) => ({ id: String(r.id), confirmed: Number(r.confirmed) }));
    for (const breach of checkOwnRead(known, isAbsent, read)) {
      const description = `${operation}: ${breach.description}`;
      this.context.reportBreach(description, [...breach.subjects, name]);
    }
  }

  private async readLarge(): Promise<void> {
    const nonce = this.createNonce();
    const text = `SELECT repeat('${nonce}|', ${largeRepeats}) AS body`;
    const result = await this.session.runStatement("readLarge", { text });
    if (result.type !== "answered") return;
    const isComplete = result.rows[0]?.body === `${nonce}|`.repeat(largeRepeats);
    if (!isComplete || result.rows.length !== 1) this.reportWrongAnswer(nonce);
  }

  private async readSeries(): Promise<void> {
    const nonce = this.createNonce();
    const text = `SELECT i, '${nonce}' AS nonce FROM generate_series(1, ${seriesRows}) AS i`;
    const result = await this.session.runStatement("readSeries", { text });
    if (result.type !== "answered") return;
    this.checkNonces(nonce, result.rows);
    const isComplete = result.rows.every((row, i) => Number(row.i) === i + 1);
    if (!isComplete || result.rows.length !== seriesRows) this.reportWrongAnswer(nonce);
  }

  private addBooking(transactionId?: string): Booking {
    const { name, group } = this.session.options;
    this.counter += 1;
    const id = `${this.table}-${name}-${this.counter}`;
    const { table } = this;
    const booking = this.context.ledger.add({
      id,
      session: name,
      group,
      table,
      transactionId: transactionId ?? id,
    });
    this.own.push(booking);
    return booking;
  }

  private buildInsert({ id, session }: Booking): string {
    return `INSERT INTO ${this.table} (id, session, confirmed) VALUES ('${id}', '${session}', 0)`;
  }

  private listStoredRows(): readonly Booking[] {
    return this.own.filter((b) => b.outcome === "landed");
  }

  private recordResult(booking: Booking, result: StatementOutcome): void {
    this.setOutcome(booking, toWriteOutcome(result));
  }

  private setBothOutcomes(first: Booking, second: Booking, outcome: WriteOutcome): void {
    this.setOutcome(first, outcome);
    this.setOutcome(second, outcome);
  }

  private setOutcome(booking: Booking, outcome: WriteOutcome): void {
    booking.outcome = outcome;
    this.context.counts.add("writes", outcome);
  }

  private createNonce(): string {
    this.counter += 1;
    return `n-${this.session.options.name}-${this.counter}`;
  }

  private checkNonces(nonce: string, rows: readonly Row[]): void {
    if (rows.some((row) => row.nonce !== nonce)) this.reportWrongAnswer(nonce);
  }

  private reportWrongAnswer(nonce: string): void {
    const description = `the answer to ${nonce} is incomplete or belongs to another statement`;
    this.context.reportBreach(description, [this.session.options.name]);
  }
}

/** Derives whether a write must be stored from the outcome of its statement. */
function toWriteOutcome(result: StatementOutcome): WriteOutcome {
  switch (result.type) {
    case "answered":
      return "landed";
    case "notRun":
      return "absent";
    case "mayHaveRun":
    case "broken":
      return "unknown";
    case "failed":
      return isStatementError(result.code) ? "absent" : "unknown";
  }
}

/**
 * Whether an SQLSTATE means that the statement had no effect. Errors of the connection (08), of operator
 * intervention (57) and of the system (58) don't.
 */
function isStatementError(code: string): boolean {
  return !code.startsWith("08") && !code.startsWith("57") && !code.startsWith("58");
}
