/** Whether a written row must be stored (`landed`), must be absent, or may be either (`unknown`). */
export type WriteOutcome = "landed" | "absent" | "unknown";

/** A row that a session inserted, with the updates that must be visible on it. */
export interface Booking {
  readonly id: string;
  readonly session: string;
  readonly group: string;
  readonly table: string;
  /** Shared by the rows of one transaction, of which all or none must be stored. */
  readonly transactionId: string;
  outcome: WriteOutcome;
  /** The number of increments of the `confirmed` column that were acknowledged. */
  confirmed: number;
  /** The number of further increments that may have run. */
  uncertain: number;
}

/** A row as a target stores it. */
export interface StoredBooking {
  readonly id: string;
  readonly confirmed: number;
}

/** A violated consistency check. */
export interface Breach {
  readonly description: string;
  /** Ids and names (rows, transactions, sessions) that select the lines of its trace. */
  readonly subjects: readonly string[];
}

/** Records every row that sessions tried to write, with the outcome that they were told. */
export class Ledger {
  private readonly bookings = new Map<string, Booking>();
  private readonly tables = new Map<string, Booking[]>();

  add(booking: Omit<Booking, "outcome" | "confirmed" | "uncertain">): Booking {
    const added: Booking = { ...booking, outcome: "unknown", confirmed: 0, uncertain: 0 };
    this.bookings.set(booking.id, added);
    const name = buildTableName(booking.group, booking.table);
    const listed = this.tables.get(name);
    if (listed === undefined) this.tables.set(name, [added]);
    else listed.push(added);
    return added;
  }

  list(group: string, table: string): readonly Booking[] {
    return this.tables.get(buildTableName(group, table)) ?? [];
  }

  find(id: string): Booking | undefined {
    return this.bookings.get(id);
  }

  count(): Readonly<Record<WriteOutcome, number>> {
    const counts = { landed: 0, absent: 0, unknown: 0 };
    for (const { outcome } of this.bookings.values()) counts[outcome] += 1;
    return counts;
  }
}

/** Compares the rows that a target stores with the outcomes that callers were told. */
export function checkStored(
  bookings: readonly Booking[],
  stored: readonly StoredBooking[],
): readonly Breach[] {
  const rows = new Map<string, StoredBooking[]>();
  for (const row of stored) rows.set(row.id, [...(rows.get(row.id) ?? []), row]);
  const rowBreaches = bookings.flatMap((b) => checkBooking(b, rows.get(b.id) ?? []));
  return [...rowBreaches, ...checkTransactions(bookings, rows)];
}

function checkBooking(booking: Booking, rows: readonly StoredBooking[]): readonly Breach[] {
  const { id, outcome, confirmed, uncertain } = booking;
  const subjects = [id];
  const [row] = rows;
  if (rows.length > 1)
    return [{ description: `row ${id} is stored ${rows.length} times`, subjects: subjects }];
  if (row === undefined) {
    return outcome === "landed"
      ? [{ description: `row ${id} was acknowledged but is not stored`, subjects: subjects }]
      : [];
  }
  if (outcome === "absent")
    return [{ description: `row ${id} was reported as not run but is stored`, subjects: subjects }];
  if (row.confirmed >= confirmed && row.confirmed <= confirmed + uncertain) return [];
  const expected = uncertain === 0 ? `${confirmed}` : `${confirmed} to ${confirmed + uncertain}`;
  return [
    {
      description: `row ${id} is confirmed ${row.confirmed} times, expected ${expected}`,
      subjects: subjects,
    },
  ];
}

function checkTransactions(
  bookings: readonly Booking[],
  rows: ReadonlyMap<string, readonly StoredBooking[]>,
): readonly Breach[] {
  const found = new Map<string, Set<boolean>>();
  for (const { id, transactionId } of bookings) {
    found.set(transactionId, (found.get(transactionId) ?? new Set()).add(rows.has(id)));
  }
  return [...found]
    .filter(([, states]) => states.size > 1)
    .map(([id]) => ({ description: `transaction ${id} is stored only in part`, subjects: [id] }));
}

/** Checks that a session's read shows its own rows as they were acknowledged before the read. */
export function checkOwnRead(
  known: readonly Pick<Booking, "id" | "confirmed">[],
  isAbsent: (id: string) => boolean,
  read: readonly StoredBooking[],
): readonly Breach[] {
  const rows = new Map(read.map((row) => [row.id, row]));
  const missing = known.flatMap(({ id, confirmed }): Breach[] => {
    const row = rows.get(id);
    if (row === undefined)
      return [{ description: `a read misses the row ${id} of its own session`, subjects: [id] }];
    if (row.confirmed >= confirmed) return [];
    return [
      {
        description: `a read misses a confirmation of the row ${id} of its own session`,
        subjects: [id],
      },
    ];
  });
  const unexpected = read
    .filter((row) => isAbsent(row.id))
    .map(({ id }): Breach => ({
      description: `a read shows the row ${id}, which was reported as not run`,
      subjects: [id],
    }));
  return [...missing, ...unexpected];
}

function buildTableName(group: string, table: string): string {
  return `${group}/${table}`;
}
