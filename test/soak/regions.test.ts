import { spawn } from "node:child_process";
import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { afterEach, expect, jest, test } from "@jest/globals";
import { StandinLog } from "../../standin/direct/index.js";
import {
  Balancer,
  checkCutReads,
  defaultSite,
  listFaultNames,
  Load,
  planFaults,
  readSite,
  RegionLink,
  RegionRelay,
  summariseServed,
} from "../../standin/soak/nodes/index.js";
import { createRandomStream } from "../../standin/soak/random.js";

const site = readSite("config/soak-two-regions.yaml");
const host = "127.0.0.1";
const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

/** A link of 30 ms and 1 Mbit/s (125 bytes a millisecond) with a clock that the test sets. */
function createLink() {
  const clock = { nowMs: 0 };
  const link = new RegionLink(30, 1, () => clock.nowMs);
  cleanups.push(() => link.dispose());
  const arrived: string[] = [];
  const send = (name: string, bytes: number) => link.send(bytes, () => arrived.push(name));
  const advance = (nowMs: number) => {
    clock.nowMs = nowMs;
    link.deliverDue();
    return [...arrived];
  };
  return { link, send, advance };
}

// A relay that ignores the bandwidth, or gives each message its own, would hide a link that is too narrow.
test("messages share the bandwidth of a link and arrive in order after its delay", () => {
  const { send, advance } = createLink();
  send("first", 1250);
  send("second", 125);
  expect(advance(39)).toEqual([]);
  expect(advance(40)).toEqual(["first"]);
  expect(advance(41)).toEqual(["first", "second"]);
});

// A cut that dropped messages or let them through would be a fault that no network has under TCP.
test("nothing arrives while a link is cut, and all of it afterwards at the link's bandwidth", () => {
  const { link, send, advance } = createLink();
  send("before", 125);
  link.cut();
  link.cut();
  send("meanwhile", 125);
  expect(advance(1000)).toEqual([]);
  link.heal();
  expect(advance(2000)).toEqual([]);
  link.heal();
  expect(advance(2031)).toEqual(["before"]);
  expect(advance(2032)).toEqual(["before", "meanwhile"]);
});

async function listen(handle: (socket: Socket) => void): Promise<number> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket.on("error", () => undefined));
    handle(socket);
  });
  server.listen(0, host);
  await once(server, "listening");
  cleanups.push(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

async function startRelay(port: number) {
  const [there, back] = [new RegionLink(1, 100), new RegionLink(1, 100)];
  const relay = new RegionRelay({ host, port }, there, back);
  cleanups.push(() => relay.dispose());
  const socket = connect(await relay.start(), host);
  cleanups.push(() => socket.destroy());
  let text = "";
  socket.on("data", (chunk: Buffer) => (text += chunk.toString("latin1")));
  return { there, back, socket, getText: () => text };
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise((resolve) => setTimeout(resolve, 1));
}

// More than a connection's window, so that a relay that forgets to go on reading would hang here.
test("a relay passes large messages whole in both directions, and the end of a connection", async () => {
  const { socket, getText } = await startRelay(await listen((far) => far.pipe(far)));
  const text = "0123456789".repeat(100_000);
  socket.write(text);
  await waitUntil(() => getText().length === text.length);
  expect(getText()).toBe(text);
  const port = await listen((far) => far.end("goodbye"));
  const closing = await startRelay(port);
  await once(closing.socket, "close");
  expect(closing.getText()).toBe("goodbye");
});

test("a relay holds what crosses a link while it is cut, also the end of the connection", async () => {
  let far: Socket | undefined;
  const port = await listen((socket) => (far = socket));
  const { back, socket, getText } = await startRelay(port);
  await waitUntil(() => far !== undefined);
  back.cut();
  const sentBytes = back.sentBytes;
  far?.end("answer");
  await waitUntil(() => back.sentBytes >= sentBytes + "answer".length);
  expect(getText()).toBe("");
  expect(socket.closed).toBe(false);
  back.heal();
  await once(socket, "close");
  expect(getText()).toBe("answer");
});

// A node that reached another region past the relays would make every cut harmless.
test("a node's connections to ports of other regions go to the relays, and all others where they were", async () => {
  const ports = await Promise.all(
    ["relay", "near"].map((name) => listen((socket) => socket.end(name))),
  );
  const script = `
    const net = require("node:net");
    for (const open of [() => net.connect(7, "${host}"), () => net.connect({ port: ${ports[1] ?? 0}, host: "${host}" }),
      () => new net.Socket().connect({ port: 7, host: "${host}" })]) {
      open().on("data", (text) => process.stdout.write(text + " ")).on("error", (e) => console.log(e.message));
    }`;
  const detour = new URL("dist/standin/soak/nodes/detour.js", `file://${process.cwd()}/`).href;
  const env = { SOAK_DETOURS: JSON.stringify({ 7: ports[0] }), NODE_OPTIONS: `--import ${detour}` };
  const child = spawn(process.execPath, ["-e", script], { env });
  let output = "";
  child.stdout.on("data", (chunk: Buffer) => (output += chunk.toString()));
  await once(child, "close");
  expect(output.trim().split(" ").sort()).toEqual(["near", "relay", "relay"]);
});

// With fewer than three levels the routes of the site would leave the scheduler by levels unused.
test("the site of two regions has three levels, and objectives within the timeouts of their routes", () => {
  expect(new Set(site.kinds.map(({ level }) => level))).toEqual(new Set([0, 1, 2]));
  for (const { objectiveMs, timeoutMs } of site.kinds) {
    expect(objectiveMs).toBeLessThanOrEqual(timeoutMs);
  }
});

test("the report has the share in time by kind, region and second", () => {
  const read = {
    kind: "browse",
    zone: "west-1",
    region: "west",
    team: "t",
    reason: "",
    worth: 1,
    lateWorth: 0.3,
  };
  const served = summariseServed([
    { ...read, isOwed: true, atMs: 10, outcome: "served" },
    { ...read, isOwed: true, atMs: 20, outcome: "late" },
    { ...read, isOwed: true, atMs: 1500, outcome: "refused", region: "east" },
    { ...read, isOwed: true, atMs: 1600, outcome: "served", kind: "reserve", region: "east" },
  ]);
  const share = (name: string, asked: number, answered: number, inTime: number) => {
    return { name, asked, answered, inTime };
  };
  expect(served).toMatchObject({
    kinds: [share("browse", 3, 2, 1), share("reserve", 1, 1, 1)],
    regions: [share("west", 2, 2, 1), share("east", 2, 1, 1)],
    kindsByRegion: [
      share("browse@west", 2, 2, 1),
      share("browse@east", 1, 0, 0),
      share("reserve@east", 1, 1, 1),
    ],
    seconds: [share("0", 2, 2, 1), share("1", 2, 1, 1)],
  });
});

test("a cut between regions is planned only for sites that have several", () => {
  expect(listFaultNames(defaultSite)).not.toContain("regionCut");
  expect(listFaultNames(site)).toContain("regionCut");
  const plan = planFaults(5, site, 60_000, ["regionCut"], 4);
  expect(plan).toEqual(planFaults(5, site, 60_000, ["regionCut"], 4));
  for (const { fault } of plan) {
    if (fault.type !== "cutRegions") throw new Error(`unexpected fault ${fault.type}`);
    expect([...fault.regions].sort()).toEqual(["east", "west"]);
  }
});

test("lagging replicas are planned one or all of a group, behind by seconds or receiving nothing", () => {
  const plan = planFaults(5, site, 60_000, ["replicasLag"], 40);
  const commands = plan.flatMap(({ fault }) => (fault.type === "backend" ? [fault.command] : []));
  const sorts = commands.map((command) => {
    if (command.type !== "lagReplicas") throw new Error(`unexpected command ${command.type}`);
    return `${command.isAll ? "all" : "one"} ${command.lagMs === undefined ? "silent" : "late"}`;
  });
  expect([...new Set(sorts)].sort()).toEqual(["all late", "all silent", "one late", "one silent"]);
});

// A replica that lags must get all commits in the end, and one that does not lag must not wait for it.
test("a stand-in replica that lags receives commits later than the others", () => {
  jest.useFakeTimers();
  cleanups.push(() => jest.useRealTimers());
  const log = new StandinLog();
  log.lagMs = 100;
  const [primary, late, prompt] = [
    log.add("a", "primary"),
    log.add("b", "replica"),
    log.add("c", "replica"),
  ];
  late.extraLagMs = 3000;
  for (const id of ["1", "2"]) log.commit(primary, [{ id, item: "i", data: id }]);
  jest.advanceTimersByTime(100);
  expect([late.log.length, prompt.log.length]).toEqual([0, 2]);
  late.extraLagMs = 0;
  log.commit(primary, [{ id: "3", item: "i", data: "3" }]);
  jest.advanceTimersByTime(100);
  expect([late.log.length, prompt.log.length]).toEqual([3, 3]);
  jest.advanceTimersByTime(3000);
  expect(late.log).toEqual(primary.log);
});

// A burst that no caller makes, or that does not end, would make the shares of its kind meaningless.
test("a burst multiplies the rate of one kind, and ends", async () => {
  const burst = { kind: "browse", factor: 3, forMs: 50 };
  const random = createRandomStream(1, 1);
  const balancer = new Balancer([]);
  cleanups.push(() => balancer.dispose());
  const load = new Load({ site: { ...site, retries: 0 }, nodes: [], balancer, random, scale: 1 });
  jest.useFakeTimers();
  cleanups.push(() => jest.useRealTimers());
  load.start();
  // Bursts end by a timer that is not faked, so that this one lasts for the whole fake second.
  const ended = load.burst(burst);
  jest.advanceTimersByTime(1000);
  await ended;
  jest.advanceTimersByTime(1000);
  jest.useRealTimers();
  await load.finish();
  const count = (name: string) => load.results.filter(({ kind }) => kind === name).length;
  expect([count("reserve"), count("confirm")]).toEqual([80, 200]);
  // The fractions of operations that are due are summed, which rounds.
  expect(Math.abs(count("browse") - (60 * 3 + 60))).toBeLessThanOrEqual(1);
});

test("a burst is planned for a kind of the site", () => {
  for (const { fault } of planFaults(5, site, 60_000, ["kindBurst"], 10)) {
    if (fault.type !== "burstKind") throw new Error(`unexpected fault ${fault.type}`);
    expect(site.kinds.map(({ name }) => name)).toContain(fault.kind);
    expect(fault.factor).toBeGreaterThan(1);
  }
});

// The checker itself: a region whose reads fail during a cut must not pass because of the other one, or of later reads.
test.each([
  ["reads that one region refuses", 6000, "refused", "west", 1],
  ["reads that are late", 6000, "late", "east", 1],
  ["reads in the first second of the cut", 5900, "refused", "west", 0],
  ["reads beyond the staleness bound", 8900, "refused", "west", 0],
  ["reads after the cut", 10_000, "refused", "west", 0],
] as const)("%s: reported or not", (_, atMs, outcome, region, breaches) => {
  const cut = { type: "cutRegions", regions: ["east", "west"], forMs: 5000 } as const;
  const common = {
    kind: "browse",
    zone: "z",
    team: "t",
    reason: "",
    worth: 1,
    lateWorth: 0.3,
    isOwed: true,
  };
  const read = { ...common, atMs: 6000, outcome: "served" } as const;
  const results = [
    { ...read, region: "east" },
    { ...read, region: "west" },
    { ...common, atMs, outcome, region },
  ];
  const faults = [{ atMs: 5000, fault: cut }];
  expect(checkCutReads(site, faults, results).breaches).toHaveLength(breaches);
  const others = [...faults, { atMs: 3000, fault: { type: "reloadNodes" } as const }];
  const disturbed = checkCutReads(site, others, results);
  expect(disturbed).toMatchObject({
    breaches: [],
    lines: [expect.stringContaining("not checked")],
  });
});
