import { expect, test } from "@jest/globals";
import { exitCodes, runProgram, type ProxyReport } from "../../src/command/index.js";
import { configurationKind } from "../../src/fleet/index.js";
import type { Configuration } from "../../src/model/index.js";
import { FakeClock, FakeStore, makeRandom, makeVm } from "../fleet/fakes.js";

const rules = (teams: string, revision = "") => `${revision}
teams: [${teams}]
rules:
  - { name: closed, then: { refuse: { retryAfter: 30s, reason: closed } } }
`;

const report = (vm: string, down: readonly string[]): ProxyReport => ({
  vm,
  dataCentre: "dc1",
  incarnation: "1.0",
  state: "ready",
  revision: 7,
  callers: 12,
  members: ["a", "b"].map((name) => ({
    name,
    dataCentre: "dc1",
    host: "10.0.0.1",
    port: 7432,
    status: down.includes(name) ? "down" : "alive",
  })),
  groups: [
    {
      group: "libro-1",
      term: "4.a",
      primary: "t1",
      queued: 2,
      targets: [
        { target: "t1", role: "primary", mark: "90@4.a", lag: 0, missedProbes: 0 },
        { target: "t2", role: "replica", mark: "87@4.a", lag: 3, missedProbes: 1 },
      ],
    },
  ],
});

/** An operator's terminal: files, two proxies `a` and `b`, and a store. */
const makeDesk = () => {
  const [store, clock] = [new FakeStore(), new FakeClock()];
  store.vms = [makeVm("a", "dc1", 1), makeVm("b", "dc1", 2)];
  const files = new Map<string, string>();
  const held: Configuration | undefined = undefined;
  const [lag, down] = [new Map<string, number>(), new Set<string>()];
  const desk = { store, files, lag, down, held: held as Configuration | undefined, out: "" };
  const nameOf = (host: string) => (host === "10.0.0.1" ? "a" : "b");
  let changes = 0;
  const readRevision = async () => {
    const read = await store.get(configurationKind, "current");
    return read.type === "found" ? (read.value.value as { revision: number }).revision : 0;
  };
  const run = async (...args: string[]) => {
    desk.out = "";
    const state = { isDone: false };
    const result = runProgram(
      ["node", "radishwalk", ...args],
      (flags) => ({
        store,
        clock,
        random: makeRandom(1),
        givenProxies: [],
        healthOffset: 2000,
        json: flags.json === true,
        proxies: {
          readSummary: async ({ host }) => {
            const vm = nameOf(host);
            if (desk.down.has(vm)) return undefined;
            return { vm, revision: (await readRevision()) - (desk.lag.get(vm) ?? 0) };
          },
          readReport: ({ host }) =>
            Promise.resolve(
              desk.down.has(nameOf(host)) ? undefined : report(nameOf(host), [...desk.down]),
            ),
          readConfiguration: () => Promise.resolve(desk.held),
          requestDrain: ({ host, port }) => Promise.resolve(host === "10.0.0.2" && port === 9432),
        },
        readFile: (path) =>
          files.has(path) ? Promise.resolve(files.get(path) ?? "") : Promise.reject(new Error()),
        writeFile: (path, text) => Promise.resolve(void files.set(path, text)),
        createChangeId: () => `change-${++changes}`,
        print: (text) => void (desk.out += `${text}\n`),
        dispose: () => undefined,
      }),
      (text) => void (desk.out += `${text}\n`),
    ).finally(() => (state.isDone = true));
    for (let i = 0; i < 200 && !state.isDone; i++) await clock.advance(100);
    return result;
  };
  return { ...desk, desk, run };
};

test("a file is applied, got, edited, compared and applied again", async () => {
  const { desk, files, run } = makeDesk();
  files.set("r.yaml", rules("{ name: t, plan: trial }"));
  expect(await run("apply", "r.yaml", "--base", "0")).toBe(exitCodes.done);
  expect(desk.out).toBe("revision 1 is accepted and in force on 2 proxies\n");
  expect(await run("get", "--output", "g.yaml")).toBe(exitCodes.done);
  expect(files.get("g.yaml")).toContain("revision: 1\n");
  files.set("g.yaml", (files.get("g.yaml") ?? "").replace("plan: trial", "plan: paying"));
  expect(await run("diff", "g.yaml")).toBe(exitCodes.differs);
  expect(desk.out).toBe("~ team t\n");
  expect(await run("apply", "g.yaml", "--json")).toBe(exitCodes.done);
  expect(JSON.parse(desk.out)).toMatchObject({ revision: 2, inForce: ["a", "b"], missing: [] });
  expect(await run("diff", "g.yaml")).toBe(exitCodes.done);
});

test("a file that does not say what it was edited from is refused", async () => {
  const { desk, files, run } = makeDesk();
  files.set("r.yaml", rules(""));
  expect(await run("apply", "r.yaml")).toBe(exitCodes.usage);
  expect(desk.out).toContain("no revision that it was edited from");
});

// Two operators get revision 1; both change team t, in different ways.
// The second must not win in silence: its command ends with the conflict, named.
// A third, who adds another team, is merged.
test("two operators: another entry is merged, the same one is a clear conflict", async () => {
  const { desk, files, run } = makeDesk();
  const [t, paying] = ["{ name: t, plan: trial }", "{ name: t, plan: paying }"];
  files.set("first.yaml", rules(t));
  files.set("one.yaml", rules(paying, "revision: 1"));
  files.set("two.yaml", rules("", "revision: 1"));
  files.set("three.yaml", rules(`${t}, { name: u, plan: trial }`, "revision: 1"));
  await run("apply", "first.yaml", "--base", "0");
  expect(await run("apply", "one.yaml")).toBe(exitCodes.done);
  expect(await run("apply", "two.yaml")).toBe(exitCodes.conflict);
  expect(desk.out).toBe("ConflictError: team t was changed by another operator as well\n");
  expect(await run("apply", "three.yaml")).toBe(exitCodes.done);
  await run("get");
  expect(desk.out).toContain("name: t\n    plan: paying\n  - name: u");
});

// The platform's store was restored from an old copy: it has nothing of what the proxies have in
// force at revision 7. An accepted change must go above that, or no proxy would ever adopt it.
test("a change after the store was restored goes above what the proxies have in force", async () => {
  const { desk, files, run } = makeDesk();
  desk.held = { revision: 7, changeId: "kept", teams: [{ name: "t", plan: "trial" }], rules: [] };
  for (const vm of ["a", "b"]) desk.lag.set(vm, -7);
  files.set("r.yaml", rules("{ name: t, plan: paying }", "revision: 7"));
  await run("apply", "r.yaml", "--json");
  expect(JSON.parse(desk.out)).toMatchObject({ revision: 8 });
});

test("apply says where a revision is not in force, and leaves out a VM that is down", async () => {
  const { desk, files, run } = makeDesk();
  files.set("r.yaml", rules(""));
  desk.lag.set("b", 1);
  expect(await run("apply", "r.yaml", "--base", "0", "--wait", "1")).toBe(exitCodes.notEverywhere);
  expect(desk.out).toContain("not in force on all live proxies:\n  b: revision 0\n");
  desk.down.add("b");
  expect(await run("apply", "r.yaml", "--base", "1", "--wait", "1")).toBe(exitCodes.done);
});

test("with the store down nothing is changed, and the exit code says so", async () => {
  const { desk, files, run, store } = makeDesk();
  files.set("r.yaml", rules(""));
  store.isDown = true;
  expect(await run("apply", "r.yaml", "--base", "0", "--json")).toBe(exitCodes.unavailable);
  expect(JSON.parse(desk.out)).toMatchObject({ error: "UnavailableError", exitCode: 5 });
});

test("status shows proxies and groups; drain asks one proxy at its health address", async () => {
  const { desk, run } = makeDesk();
  desk.down.add("b");
  expect(await run("status")).toBe(exitCodes.done);
  expect(desk.out).toMatch(/^a +dc1 +ready +7 +12 +1$/m);
  expect(desk.out).toMatch(/^b +unreachable +down$/m);
  expect(desk.out).toMatch(/^libro-1 +a +4\.a +t1 +primary +90@4\.a +0 +0 +2$/m);
  expect(await run("drain", "b")).toBe(exitCodes.done);
  expect(await run("drain", "a")).toBe(exitCodes.unavailable);
  expect(await run("drain", "c")).toBe(exitCodes.usage);
});

test("explain names the rule that decides and why the others do not", async () => {
  const { desk, run, files } = makeDesk();
  files.set(
    "r.yaml",
    rules("{ name: t, plan: trial }").replace(
      "rules:",
      `rules:
  - { name: reads, when: { effect: read }, then: { refuse: { retryAfter: 1s, reason: x } } }`,
    ),
  );
  const sql = "INSERT INTO places VALUES (1)";
  expect(await run("explain", "--file", "r.yaml", "--team", "t", "--sql", sql)).toBe(0);
  expect(desk.out).toContain("reads: effect is write, wanted read");
  expect(desk.out).toContain("decided by: closed");
  expect(await run("explain", "--file", "r.yaml")).toBe(exitCodes.usage);
});

test("faults of a file come with their lines, unknown options with usage's code", async () => {
  const { desk, files, run } = makeDesk();
  files.set("r.yaml", "teams: []\nruels: []\n");
  expect(await run("check", "r.yaml")).toBe(exitCodes.faultyFile);
  expect(desk.out).toContain("r.yaml:2:1: ruels: unknown key ruels; did you mean rules?");
  expect(await run("status", "--bogus")).toBe(exitCodes.usage);
});
