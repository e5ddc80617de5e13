import { beforeAll, expect, test } from "@jest/globals";
import fc from "fast-check";
import { classifyStatement, loadParser, LruCache, parseTags } from "../../src/sql/index.js";

beforeAll(loadParser);

const effect = (text: string) => classifyStatement(text).effect;
const kinds = (text: string) => classifyStatement(text).statements;

test.each([
  "select a, count(*) from t where lower(b) = $1",
  "with x as (select 1) select * from x",
  "values (1)",
  "table t",
  "show server_version",
  "begin read only",
  "explain select 1",
  "select pg_catalog.now()",
])("%s is a read", (text) => expect(effect(text)).toBe("read"));

test.each(
  [
    "insert into t values (1)",
    "select reserve(1)",
    "select public.lower('A')",
    "select nextval('s')",
    "select 1 for update",
    "select * into u from t",
    "with w as (delete from t returning *) select * from w",
    "explain analyze select 1",
    "explain (analyze false) select 1",
    "call p()",
    "do $$ begin end $$",
    "copy t to stdout",
    "begin",
    "select 1; delete from t",
    "selec 1",
    "select " + "(".repeat(20_000),
    "select 1" + "+1".repeat(20_000),
  ].map((text) => [text.slice(0, 40), text]),
)("%s is a write", (_, text) => expect(effect(text)).toBe("write"));

test("tables omit the names of common table expressions and the schema public", () => {
  const { tables } = classifyStatement(
    "with w as (select * from public.b) select * from w join s.a using (i)",
  );
  expect(tables).toEqual(["b", "s.a"]);
});

test("statements are classified by their meaning for the session", () => {
  expect(kinds("start transaction read only; commit and chain")).toEqual([
    { type: "begin", isReadOnly: true },
    { type: "end", isCommit: true, isChained: true },
  ]);
  expect(kinds("begin read write")).toEqual([{ type: "begin", isReadOnly: false }]);
  expect(kinds("set radishwalk.kind = 'browse'")).toEqual([
    { type: "setting", name: "kind", value: "browse" },
  ]);
  expect(kinds("reset radishwalk.kind")).toEqual([{ type: "setting", name: "kind" }]);
  expect(kinds("set local statement_timeout = 5")).toEqual([{ type: "plain" }]);
  expect(kinds("copy t from stdin")).toEqual([{ type: "copyIn" }]);
  expect(kinds("")).toEqual([]);
});

test.each([
  "set search_path = x",
  "listen a",
  "prepare p as select 1",
  "create temp table a (b int)",
  "create temp table a as select 1",
  "declare c cursor with hold for select 1",
  "select pg_advisory_lock(1)",
])("%s is classified as a change of a shared connection", (text) =>
  expect(kinds(text)[0]?.type).toBe("sessionState"),
);

test("tags are decoded and removed from a comment at the end or the start", () => {
  const tags = new Map([
    ["kind", "a b's"],
    ["idempotency_key", "1,2"],
  ]);
  const comment = "/*kind='a%20b\\'s',idempotency_key='1,2'*/";
  expect(parseTags(`select 1 ${comment};`)).toEqual({ statement: "select 1", tags });
  expect(parseTags(`${comment} select 1`)).toEqual({ statement: "select 1", tags });
});

test.each(["select 1 /* note */", "select '/*a=''b''*/'", "select 1 /*a='b',c*/", "/*a='%zz'*/"])(
  "%s has no tags",
  (text) => expect(parseTags(text)).toEqual({ statement: text, tags: new Map() }),
);

test("a cache stays within its limits", () => {
  const sizes = fc.array(fc.tuple(fc.stringMatching(/^[a-f]$/), fc.integer({ min: 1, max: 9 })));
  fc.assert(
    fc.property(sizes, (entries) => {
      const cache = new LruCache<number>({ maxEntries: 3, maxBytes: 160 });
      cache.set("used", 0, 1);
      for (const [key, bytes] of entries) {
        cache.set(key, bytes, bytes);
        expect(cache.get(key)).toBe(bytes);
        // A key that is used constantly is never evicted.
        expect(cache.get("used")).toBe(0);
        expect(cache.size).toBeLessThanOrEqual(3);
      }
    }),
    { seed: 7 },
  );
});
