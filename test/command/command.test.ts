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

/** Runs commands with fake files, two proxies `a` and `b`, and a store, and captures the output. */
const createCommandFixture = () => {
  const [store, clock] = [new FakeStore(), new FakeClock()];
  store.vms = [makeVm("a", "dc1", 1), makeVm("b", "dc1", 2)];
  const files = new Map<string, string>();
  const held: Configuration | undefined = undefined;
  const [lag, down] = [new Map<string, number>(), new Set<string>()];
  const fixture = { store, files, lag, down, held: held as Configuration | undefined, out: "" };
  const nameOf = (host: string) => (host === "10.0.0.1" ? "a" : "b");
  let changes = 0;
  const readRevision = async () => {
    const read = await store.get(configurationKind, "current");
    return read.type === "found" ? (read.value.value as { revision: number }).revision : 0;
  };
  const run = async (...args: string[]) => {
    fixture.out = "";
    const state = { isDone: false };
    const result = runProgram(
      ["node", "radishwalk", ...args],
      (flags) => ({
        store,
        clock,
        random: makeRandom(1),
        givenProxies: [],
        healthPortOffset: 2000,
        json: flags.json === true,
        proxies: {
          readSummary: async ({ host }) => {
            const vm = nameOf(host);
            if (fixture.down.has(vm)) return undefined;
            return { vm, revision: (await readRevision()) - (fixture.lag.get(vm) ?? 0) };
          },
          readReport: ({ host }) =>
            Promise.resolve(
              fixture.down.has(nameOf(host)) ? undefined : report(nameOf(host), [...fixture.down]),
            ),
          readConfiguration: () => Promise.resolve(fixture.held),
          requestDrain: ({ host, port }) => Promise.resolve(host === "10.0.0.2" && port === 9432),
        },
        readFile: (path) =>
          files.has(path) ? Promise.resolve(files.get(path) ?? "") : Promise.reject(new Error()),
        writeFile: (path, text) => Promise.resolve(void files.set(path, text)),
        createChangeId: () => `change-${++changes}`,
        print: (text) => void (fixture.out += `${text}\n`),
        dispose: () => undefined,
      }),
      (text) => void (fixture.out += `${text}\n`),
    ).finally(() => (state.isDone = true));
    for (let i = 0; i < 200 && !state.isDone; i++) await clock.advance(100);
    return result;
  };
  return { ...fixture, fixture, run };
};

test("a file can be applied, read back, edited, compared and applied again", async () => {
  const { fixture, files, run } = createCommandFixture();
  files.set("r.yaml", rules("{ name: t, plan: trial }"));
  expect(await run("apply", "r.yaml", "--base", "0")).toBe(exitCodes.done);
  expect(fixture.out).toBe("revision 1 is accepted and in force on 2 proxies\n");
  expect(await run("get", "--output", "g.yaml")).toBe(exitCodes.done);
  expect(files.get("g.yaml")).toContain("revision: 1\n");
  files.set("g.yaml", (files.get("g.yaml") ?? "").replace("plan: trial", "plan: paying"));
  expect(await run("diff", "g.yaml")).toBe(exitCodes.differs);
  expect(fixture.out).toBe("~ team t\n");
  expect(await run("apply", "g.yaml", "--json")).toBe(exitCodes.done);
  expect(JSON.parse(fixture.out)).toMatchObject({ revision: 2, inForce: ["a", "b"], missing: [] });
  expect(await run("diff", "g.yaml")).toBe(exitCodes.done);
});

test("a file without a base revision is refused", async () => {
  const { fixture, files, run } = createCommandFixture();
  files.set("r.yaml", rules(""));
  expect(await run("apply", "r.yaml")).toBe(exitCodes.usage);
  expect(fixture.out).toContain("r.yaml has no base revision");
});

// Two operators start from revision 1 and change team t in different ways. The second must not
// silently overwrite the first: its command fails and names the conflict. The change of a third, who
// adds another team, is merged.
test("concurrent changes of different entries are merged, of the same entry are a conflict", async () => {
  const { fixture, files, run } = createCommandFixture();
  const [t, paying] = ["{ name: t, plan: trial }", "{ name: t, plan: paying }"];
  files.set("first.yaml", rules(t));
  files.set("one.yaml", rules(paying, "revision: 1"));
  files.set("two.yaml", rules("", "revision: 1"));
  files.set("three.yaml", rules(`${t}, { name: u, plan: trial }`, "revision: 1"));
  await run("apply", "first.yaml", "--base", "0");
  expect(await run("apply", "one.yaml")).toBe(exitCodes.done);
  expect(await run("apply", "two.yaml")).toBe(exitCodes.conflict);
  expect(fixture.out).toBe("ConflictError: team t was also changed by another operator\n");
  expect(await run("apply", "three.yaml")).toBe(exitCodes.done);
  await run("get");
  expect(fixture.out).toContain("name: t\n    plan: paying\n  - name: u");
});

// The platform's store was restored from an old copy and lacks revision 7, which is in force on the
// proxies. The next change must get a higher revision than that, or no proxy would ever adopt it.
test("a change after a restore of the store gets a higher revision than the one in force", async () => {
  const { fixture, files, run } = createCommandFixture();
  fixture.held = {
    revision: 7,
    changeId: "kept",
    teams: [{ name: "t", plan: "trial" }],
    rules: [],
  };
  for (const vm of ["a", "b"]) fixture.lag.set(vm, -7);
  files.set("r.yaml", rules("{ name: t, plan: paying }", "revision: 7"));
  await run("apply", "r.yaml", "--json");
  expect(JSON.parse(fixture.out)).toMatchObject({ revision: 8 });
});

test("apply lists the proxies without the revision, and ignores a VM that is down", async () => {
  const { fixture, files, run } = createCommandFixture();
  files.set("r.yaml", rules(""));
  fixture.lag.set("b", 1);
  expect(await run("apply", "r.yaml", "--base", "0", "--wait", "1")).toBe(exitCodes.notEverywhere);
  expect(fixture.out).toContain("not in force on all live proxies:\n  b: revision 0\n");
  fixture.down.add("b");
  expect(await run("apply", "r.yaml", "--base", "1", "--wait", "1")).toBe(exitCodes.done);
});

test("if the store is down, apply changes nothing and its exit code says so", async () => {
  const { fixture, files, run, store } = createCommandFixture();
  files.set("r.yaml", rules(""));
  store.isDown = true;
  expect(await run("apply", "r.yaml", "--base", "0", "--json")).toBe(exitCodes.unavailable);
  expect(JSON.parse(fixture.out)).toMatchObject({ error: "UnavailableError", exitCode: 5 });
});

test("status shows proxies and groups; drain sends a request to one proxy's health address", async () => {
  const { fixture, run } = createCommandFixture();
  fixture.down.add("b");
  expect(await run("status")).toBe(exitCodes.done);
  expect(fixture.out).toMatch(/^a +dc1 +ready +7 +12 +1$/m);
  expect(fixture.out).toMatch(/^b +unreachable +down$/m);
  expect(fixture.out).toMatch(/^libro-1 +a +4\.a +t1 +primary +90@4\.a +0 +0 +2$/m);
  expect(await run("drain", "b")).toBe(exitCodes.done);
  expect(await run("drain", "a")).toBe(exitCodes.unavailable);
  expect(await run("drain", "c")).toBe(exitCodes.usage);
});

test("explain shows the rule that decides and why the others don't match", async () => {
  const { fixture, run, files } = createCommandFixture();
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
  expect(fixture.out).toContain("reads: effect is write, expected read");
  expect(fixture.out).toContain("decided by: closed");
  expect(await run("explain", "--file", "r.yaml")).toBe(exitCodes.usage);
});

test("check reports faults with their lines, and an unknown option is a usage error", async () => {
  const { fixture, files, run } = createCommandFixture();
  files.set("r.yaml", "teams: []\nruels: []\n");
  expect(await run("check", "r.yaml")).toBe(exitCodes.faultyFile);
  expect(fixture.out).toContain("r.yaml:2:1: ruels: unknown key ruels; did you mean rules?");
  expect(await run("status", "--bogus")).toBe(exitCodes.usage);
});
