/** What must be found of a write: it is there, it is not, or either. */
export type WriteOutcome = "landed" | "absent" | "unknown";

/** One row that a caller wrote, with what its later statements must have done to it. */
export interface Booking {
  readonly id: string;
  readonly session: string;
  readonly group: string;
  readonly table: string;
  /** Shared by rows of one transaction: all of them are there or none is. */
  readonly transactionId: string;
  outcome: WriteOutcome;
  /** Confirmations that were answered, and those that may have run. */
  confirmed: number;
  uncertain: number;
}

/** What a target holds of a row. */
export interface StoredBooking {
  readonly id: string;
  readonly confirmed: number;
}

/** What one check found broken; `parts` are what its trace is about. */
export interface Breach {
  readonly description: string;
  readonly subjects: readonly string[];
}

/** Every row that callers tried to write. */
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
    for (const { outcome: fate } of this.bookings.values()) counts[fate] += 1;
    return counts;
  }
}

/** Holds what a target has against what callers were told. */
export function checkStored(
  bookings: readonly Booking[],
  stored: readonly StoredBooking[],
): readonly Breach[] {
  const rows = new Map<string, StoredBooking[]>();
  for (const row of stored) rows.set(row.id, [...(rows.get(row.id) ?? []), row]);
  const ofRows = bookings.flatMap((b) => checkBooking(b, rows.get(b.id) ?? []));
  return [...ofRows, ...checkUnits(bookings, rows)];
}

function checkBooking(booking: Booking, rows: readonly StoredBooking[]): readonly Breach[] {
  const { id, outcome: fate, confirmed, uncertain: unsure } = booking;
  const parts = [id];
  const [row] = rows;
  if (rows.length > 1)
    return [{ description: `${id} is there ${rows.length} times`, subjects: parts }];
  if (row === undefined) {
    return fate === "landed"
      ? [{ description: `${id} was answered and is lost`, subjects: parts }]
      : [];
  }
  if (fate === "absent")
    return [{ description: `${id} was not run and is there`, subjects: parts }];
  if (row.confirmed >= confirmed && row.confirmed <= confirmed + unsure) return [];
  const expected = unsure === 0 ? `${confirmed}` : `${confirmed} to ${confirmed + unsure}`;
  return [
    { description: `${id} is confirmed ${row.confirmed} times, not ${expected}`, subjects: parts },
  ];
}

function checkUnits(
  bookings: readonly Booking[],
  rows: ReadonlyMap<string, readonly StoredBooking[]>,
): readonly Breach[] {
  const found = new Map<string, Set<boolean>>();
  for (const { id, transactionId: unit } of bookings) {
    found.set(unit, (found.get(unit) ?? new Set()).add(rows.has(id)));
  }
  return [...found]
    .filter(([, states]) => states.size > 1)
    .map(([id]) => ({ description: `transaction ${id} is there in part`, subjects: [id] }));
}

/** Holds a session's read of its own rows against what it was told before it asked. */
export function checkOwnRead(
  known: readonly Pick<Booking, "id" | "confirmed">[],
  isAbsent: (id: string) => boolean,
  read: readonly StoredBooking[],
): readonly Breach[] {
  const rows = new Map(read.map((row) => [row.id, row]));
  const missing = known.flatMap(({ id, confirmed }): Breach[] => {
    const row = rows.get(id);
    if (row === undefined) return [{ description: `a read misses its own ${id}`, subjects: [id] }];
    if (row.confirmed >= confirmed) return [];
    return [{ description: `a read misses a confirmation of its own ${id}`, subjects: [id] }];
  });
  const ghosts = read
    .filter((row) => isAbsent(row.id))
    .map(({ id }): Breach => ({
      description: `a read shows ${id}, which was not run`,
      subjects: [id],
    }));
  return [...missing, ...ghosts];
}

function buildTableName(group: string, table: string): string {
  return `${group}/${table}`;
}
