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

/** Does a session's work in one round, on the round's table. */
export class Worker {
  private readonly own: Booking[] = [];
  private counter = 0;

  constructor(
    private readonly session: Session,
    private readonly context: SoakContext,
    private readonly draw: RandomStream,
    private readonly table: string,
  ) {}

  /** Works until told to stop; a keyed write is repeated until it is answered even then. */
  async run(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      await this.runOne(this.draw.pick(operations));
      await sleep(this.draw.nextInteger(2, 25));
    }
    await this.session.leaveProxy();
  }

  private runOne(operation: Operation): Promise<void> {
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
    this.settle(
      booking,
      await this.session.runStatement("reserve", { text: this.buildInsert(booking) }),
    );
  }

  private async reserveKeyed(): Promise<void> {
    const booking = this.addBooking();
    const text = `${this.buildInsert(booking)} /*idempotency_key='${booking.id}'*/`;
    for (let i = 0; i < keyedTries; i += 1) {
      const heard = await this.session.runStatement("reserveKeyed", { text });
      if (heard.type === "answered") {
        this.setFate(booking, "landed");
        return;
      }
      await sleep(keyedPauseMs);
    }
    const what = `${booking.id} was not answered in ${keyedTries} tries`;
    this.context.reportBreach({
      description: what,
      subjects: [booking.id, this.session.options.name],
    });
  }

  private async reservePrepared(): Promise<void> {
    const booking = this.addBooking();
    const text = `INSERT INTO ${this.table} (id, session, confirmed) VALUES ($1, $2, 0)`;
    const values = [booking.id, booking.session];
    this.settle(
      booking,
      await this.session.runStatement("reservePrepared", { name: "add", text, values }),
    );
  }

  private async confirm(): Promise<void> {
    const landed = this.listLanded();
    if (landed.length === 0) return;
    const booking = this.draw.pick(landed);
    const text = `UPDATE ${this.table} SET confirmed = confirmed + 1 WHERE id = '${booking.id}'`;
    booking.uncertain += 1;
    const fate = findFate(await this.session.runStatement("confirm", { text }));
    if (fate !== "unknown") booking.uncertain -= 1;
    if (fate === "landed") booking.confirmed += 1;
  }

  /** Both rows or none; a caller that dies before its `COMMIT` leaves none. */
  private async transact(isAbandoned: boolean): Promise<void> {
    const first = this.addBooking();
    const second = this.addBooking(first.transactionId);
    const operation = isAbandoned ? "abandon" : "transact";
    const isFilled = await this.fillTransaction(operation, [first, second]);
    if (!isFilled || isAbandoned) {
      this.session.abort();
      this.settleBoth(first, second, "absent");
      return;
    }
    const heard = await this.session.runOnSameConnection(operation, { text: "COMMIT" });
    const isRolledBack = heard.type === "answered" && heard.tag === "ROLLBACK";
    this.settleBoth(first, second, isRolledBack ? "absent" : findFate(heard));
  }

  private async fillTransaction(operation: string, rows: readonly Booking[]): Promise<boolean> {
    const begun = await this.session.runStatement(operation, { text: "BEGIN" });
    if (begun.type !== "answered") return false;
    for (const row of rows) {
      const heard = await this.session.runOnSameConnection(operation, {
        text: this.buildInsert(row),
      });
      if (heard.type !== "answered") return false;
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
   * A stale read may be old, but not older than what its own session wrote. A rule that states an
   * age has accepted older data for sessions that show no token: of those nothing is demanded.
   */
  private browse(): Promise<void> {
    return this.readChecked("browse", "/*kind='browse'*/", {});
  }

  private async readChecked(operation: string, rest: string, values: Values): Promise<void> {
    const { name, hasToken } = this.session.options;
    const isBound = hasToken || operation === "readOwn";
    const known = isBound ? this.listLanded().map(({ id, confirmed }) => ({ id, confirmed })) : [];
    const nonce = this.makeNonce();
    const text = `SELECT id, confirmed, '${nonce}' AS nonce FROM ${this.table} ${rest}`;
    const heard = await this.session.runStatement(operation, { text, ...values });
    // A session that came without a token sees what was acknowledged before, so the round's table.
    const mustSeeTable = known.length > 0 || (operation === "readOwn" && !hasToken);
    if (mustSeeTable && heard.type === "failed" && heard.code === undefinedTable) {
      const what = `${operation}: a read misses a table that was there before`;
      this.context.reportBreach({ description: what, subjects: [known[0]?.id ?? name, name] });
    }
    if (heard.type !== "answered") return;
    this.checkNonces(nonce, heard.rows);
    const isAbsent = (id: string) => this.context.ledger.find(id)?.outcome === "absent";
    const read = heard.rows.map((r) => ({ id: String(r.id), confirmed: Number(r.confirmed) }));
    for (const breach of checkOwnRead(known, isAbsent, read)) {
      const what = `${operation}: ${breach.description}`;
      this.context.reportBreach({ description: what, subjects: [...breach.subjects, name] });
    }
  }

  private async readLarge(): Promise<void> {
    const nonce = this.makeNonce();
    const text = `SELECT repeat('${nonce}|', ${largeRepeats}) AS body`;
    const heard = await this.session.runStatement("readLarge", { text });
    if (heard.type !== "answered") return;
    const isWhole = heard.rows[0]?.body === `${nonce}|`.repeat(largeRepeats);
    if (!isWhole || heard.rows.length !== 1) this.breakAnswer(nonce);
  }

  private async readSeries(): Promise<void> {
    const nonce = this.makeNonce();
    const text = `SELECT i, '${nonce}' AS nonce FROM generate_series(1, ${seriesRows}) AS i`;
    const heard = await this.session.runStatement("readSeries", { text });
    if (heard.type !== "answered") return;
    this.checkNonces(nonce, heard.rows);
    const isWhole = heard.rows.every((row, i) => Number(row.i) === i + 1);
    if (!isWhole || heard.rows.length !== seriesRows) this.breakAnswer(nonce);
  }

  private addBooking(unit?: string): Booking {
    const { name, group } = this.session.options;
    this.counter += 1;
    const id = `${this.table}-${name}-${this.counter}`;
    const { table } = this;
    const booking = this.context.ledger.add({
      id,
      session: name,
      group,
      table,
      transactionId: unit ?? id,
    });
    this.own.push(booking);
    return booking;
  }

  private buildInsert({ id, session }: Booking): string {
    return `INSERT INTO ${this.table} (id, session, confirmed) VALUES ('${id}', '${session}', 0)`;
  }

  private listLanded(): readonly Booking[] {
    return this.own.filter((b) => b.outcome === "landed");
  }

  private settle(booking: Booking, heard: StatementOutcome): void {
    this.setFate(booking, findFate(heard));
  }

  private settleBoth(first: Booking, second: Booking, fate: WriteOutcome): void {
    this.setFate(first, fate);
    this.setFate(second, fate);
  }

  private setFate(booking: Booking, fate: WriteOutcome): void {
    booking.outcome = fate;
    this.context.counts.add("writes", fate);
  }

  private makeNonce(): string {
    this.counter += 1;
    return `n-${this.session.options.name}-${this.counter}`;
  }

  private checkNonces(nonce: string, rows: readonly Row[]): void {
    if (rows.some((row) => row.nonce !== nonce)) this.breakAnswer(nonce);
  }

  private breakAnswer(nonce: string): void {
    const parts = [this.session.options.name];
    this.context.reportBreach({
      description: `the answer to ${nonce} is not whole or not its own`,
      subjects: parts,
    });
  }
}

/** What a caller may take for granted of a write after what it heard. */
function findFate(heard: StatementOutcome): WriteOutcome {
  switch (heard.type) {
    case "answered":
      return "landed";
    case "notRun":
      return "absent";
    case "mayHaveRun":
    case "broken":
      return "unknown";
    case "failed":
      return isPlainFailure(heard.code) ? "absent" : "unknown";
  }
}

/** An error of the statement itself undoes it; one of the connection or the server may not. */
function isPlainFailure(code: string): boolean {
  return !code.startsWith("08") && !code.startsWith("57") && !code.startsWith("58");
}
