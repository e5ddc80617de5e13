import { afterAll, beforeAll, expect, test } from "@jest/globals";
import type pg from "pg";
import { DisposableStore } from "../../src/model/index.js";
import { connectTo, findSqlState, startTargets } from "./build.js";

const store = new DisposableStore();
let client: pg.Client;

beforeAll(async () => {
  const [target] = await startTargets(store, 1);
  if (target === undefined) throw new Error("no target");
  client = await connectTo(target);
  store.defer(() => client.end());
  await client.query(`
    CREATE TABLE loan (id int PRIMARY KEY, family text NOT NULL, fee numeric, due date, kept bool DEFAULT true);
    INSERT INTO loan (id, family, fee, due) VALUES
      (1, 'Rossi', 12.5, '2026-01-05'), (2, 'Neri', 7, '2026-01-02'),
      (3, 'Rossi', NULL, NULL), (4, 'Gallo', 30, '2026-02-01')`);
});

afterAll(() => store.dispose());

test.each<[string, readonly unknown[][]]>([
  ["SELECT id FROM loan WHERE fee BETWEEN 7 AND 13 ORDER BY fee", [[2], [1]]],
  [
    "SELECT id FROM loan WHERE family IN ('Neri', 'Gallo') OR fee IS NULL ORDER BY 1",
    [[2], [3], [4]],
  ],
  ["SELECT id FROM loan WHERE NOT (fee > 10) ORDER BY id", [[2]]],
  [
    "SELECT family, count(*), sum(fee) FROM loan GROUP BY family ORDER BY family",
    [
      ["Gallo", "1", "30"],
      ["Neri", "1", "7"],
      ["Rossi", "2", "12.5"],
    ],
  ],
  ["SELECT max(due), min(fee) FROM loan", [["2026-02-01", "7"]]],
  ["SELECT count(*) FROM loan WHERE id = 9", [["0"]]],
  ["SELECT DISTINCT family FROM loan ORDER BY family DESC LIMIT 2 OFFSET 1", [["Neri"], ["Gallo"]]],
  ["SELECT id FROM loan ORDER BY fee DESC", [[3], [4], [1], [2]]],
  ["SELECT upper(family) || '-' || id::text AS name FROM loan l WHERE l.id = 4", [["GALLO-4"]]],
  ["SELECT CASE WHEN fee > 10 THEN 'dear' ELSE 'cheap' END FROM loan WHERE id = 2", [["cheap"]]],
  ["SELECT coalesce(fee, 0) FROM loan WHERE id = 3", [["0"]]],
  ["SELECT 7 / 2, 7 % 4, 1.5 * 2", [[3, 3, "3"]]],
  ["SELECT generate_series(1, 3)", [[1], [2], [3]]],
  ["SELECT kept, NULL IS NULL FROM loan WHERE family LIKE 'G_ll%'", [[true, true]]],
])("%s", async (text, rows) => {
  // Dates stay the text that was sent, so that the machine's time zone doesn't matter.
  const types = { getTypeParser: (oid: number) => (value: string) => readValue(oid, value) };
  const result = await client.query({ text, rowMode: "array", types });
  expect(result.rows).toEqual(rows);
});

function readValue(oid: number, value: string): unknown {
  if (oid === 16) return value === "t";
  return oid === 23 ? Number(value) : value;
}

test.each([
  ["SELECT family, count(*) FROM loan WHERE count(*) > 1", "42803"],
  ["SELECT nothing FROM loan", "42703"],
  ["SELECT 1 / 0", "22012"],
  ["SELECT 'x'::int", "22P02"],
  ["SELECT unknown_function(1)", "42883"],
  ["INSERT INTO loan (id, family) VALUES (9, NULL)", "23502"],
  ["UPDATE loan SET id = 1 WHERE id = 2", "23505"],
  ["CREATE TABLE loan (id int)", "42P07"],
  ["WITH x AS (SELECT 1) SELECT * FROM x", "0A000"],
  ["SAVEPOINT a", "0A000"],
])("%s fails with %s", async (text, state) => {
  expect(await findSqlState(client.query(text))).toBe(state);
});

test("ON CONFLICT DO UPDATE reads the proposed row as excluded", async () => {
  const text =
    "INSERT INTO loan (id, family, fee) VALUES (1, 'Rossi', 3), (5, 'Riva', 4) " +
    "ON CONFLICT (id) DO UPDATE SET fee = loan.fee + excluded.fee RETURNING id, fee";
  const result = await client.query(text);
  expect(result.rows).toEqual([
    { id: 1, fee: "15.5" },
    { id: 5, fee: "4" },
  ]);
});
