import { afterEach, expect, jest, test } from "@jest/globals";
import { computeShare } from "../../src/direct/share.js";
import { answered, group, ProxyFixture, read, write, type SentCommand } from "./fixture.js";

let fixture: ProxyFixture;

afterEach(() => fixture.dispose());

const slots = 4;
const connections = 46;
const serviceMs = 8;
const proxies = 6;
const target = { slots, announcedRole: "primary" } as const;

/** The first gateway of a target with four slots, and the target, which answers each statement after a while. */
class LoadedGateway {
  maxRunning = 0;
  private readonly started = new Map<SentCommand, number>();
  private readonly ended = new Set<SentCommand>();
  private readonly fixture: ProxyFixture;

  constructor(isSlotPlanned: boolean, isActing = true) {
    const options = { targets: ["p"], slots, connections, proxies, isSlotPlanned };
    fixture = new ProxyFixture(options);
    this.fixture = fixture;
    fixture.setShareRule({ type: "chosen", proxies, isFirst: isActing, isActing });
  }

  get group() {
    const found = this.fixture.groups.find(group);
    if (found === undefined) throw new Error("the group is unknown");
    return found;
  }

  /** Lets the target work for some time, a millisecond at a time. */
  async work(ms: number, eachMs: (at: number) => void = () => undefined): Promise<void> {
    for (let i = 0; i < ms; i += 1) {
      eachMs(i);
      await this.fixture.advance(1);
      this.answerDue();
    }
  }

  private answerDue(): void {
    const now = this.fixture.clock.now();
    const sent = [...this.fixture.list("p", "work"), ...this.fixture.list("p", "commit")];
    const running = sent.filter((command) => !this.ended.has(command));
    this.maxRunning = Math.max(this.maxRunning, running.length);
    for (const command of running) {
      const startedAt = this.started.get(command) ?? now;
      this.started.set(command, startedAt);
      if (now - startedAt < serviceMs) continue;
      this.ended.add(command);
      const isWrite = command.command.type === "work" && command.command.work.id.startsWith("t");
      command.answer(answered(isWrite ? "transaction" : "idle"));
    }
  }

  /** Opens a transaction that runs a statement, rests, and so on, and counts its statements. */
  async runTransaction(restMs: number, untilMs: number, waits: number[]): Promise<void> {
    const session = this.fixture.open("primary");
    await session.run({ type: "begin", id: "b", isReadOnly: false });
    const { clock } = this.fixture;
    while (clock.now() < untilMs) {
      const askedAt = clock.now();
      const reply = await session.run(write("t"));
      if (reply.end.type !== "complete") return;
      waits.push(clock.now() - askedAt);
      await clock.sleep(restMs);
    }
  }

  /** Sends statements outside of transactions, each after the answer to the one before. */
  async runReads(untilMs: number, served: number[]): Promise<void> {
    const session = this.fixture.open("primary");
    const { clock } = this.fixture;
    while (clock.now() < untilMs) {
      const { end } = await session.run(read("r"));
      if (end.type === "complete") served.push(clock.now());
      else await clock.sleep(10);
    }
  }
}

/** Runs a load of transactions and other statements for half a second. */
async function measureLoad(isSlotPlanned: boolean, transactions: number, restMs: number) {
  const gateway = new LoadedGateway(isSlotPlanned);
  const waits: number[] = [];
  const served: number[] = [];
  const untilMs = 500;
  for (let i = 0; i < transactions; i += 1) {
    void gateway.runTransaction(restMs, untilMs, waits);
  }
  await gateway.work(20);
  for (let i = 0; i < 20; i += 1) void gateway.runReads(untilMs, served);
  await gateway.work(untilMs + 100, (at) => {
    if (at % 50 === 0) gateway.group.idle.endForWaiting();
  });
  return { gateway, waits, served };
}

/** The statements that the target's slots can run in half a second. */
const capacity = (slots * 500) / serviceMs;

// Guards against idle transactions that keep statements out, and against more statements than slots.
test("statements use the slots that transactions leave between theirs", async () => {
  const { gateway, waits, served } = await measureLoad(true, 6, 40);
  expect(gateway.maxRunning).toBeLessThanOrEqual(slots + 1);
  expect(served.length).toBeGreaterThan(0.5 * capacity);
  expect(waits.length + served.length).toBeGreaterThan(0.85 * capacity);
  const longest = Math.max(...waits);
  expect(longest).toBeLessThanOrEqual(5 * serviceMs);
});

// Guards against statements that wait while idle transactions hold all connections.
test("idle transactions that hold all connections are ended for statements that wait", async () => {
  const { gateway, served } = await measureLoad(true, 12, 5000);
  expect(gateway.maxRunning).toBeLessThanOrEqual(slots + 1);
  expect(served.length).toBeGreaterThan(0.4 * capacity);
  expect(gateway.group.idle.size).toBeGreaterThan(0);
});

// Guards against a test above that passes whatever the code does.
test("without planned slots the same transactions keep all statements out", async () => {
  // The limit of idle transactions counts on timers, which a busy machine fires within this virtual half second.
  jest.useFakeTimers({ doNotFake: ["setImmediate", "nextTick", "queueMicrotask", "performance"] });
  const { served } = await measureLoad(false, 12, 5000);
  jest.useRealTimers();
  expect(served).toEqual([]);
});

// Guards against transactions that take all slots for good.
test("transactions without rest leave a part of the slots to other statements", async () => {
  const { gateway, waits, served } = await measureLoad(true, 8, 0);
  expect(gateway.maxRunning).toBeLessThanOrEqual(slots + 1);
  expect(served.length).toBeGreaterThan(0.1 * capacity);
  expect(waits.length).toBeGreaterThan(served.length);
});

// Guards against gateways that together run more statements at a target than it has slots for.
test("a gateway that does not act for a target has one slot there", async () => {
  const gateway = new LoadedGateway(true, false);
  for (let i = 0; i < 5; i += 1) void gateway.runReads(100, []);
  await gateway.work(150);
  expect(gateway.maxRunning).toBe(1);
});

test("the share of slots follows the gateway that acts, and connections stay as they are", () => {
  const share = (isFirst: boolean, isActing: boolean, isPlanned = true) =>
    computeShare(connections, target, { type: "chosen", proxies, isFirst, isActing }, isPlanned);
  expect(share(true, true)).toEqual({ base: 12, max: 12, slots: slots + 1 });
  expect(share(false, true)).toEqual({ base: 12, max: 12, slots: slots + 1 });
  expect(share(false, false)).toEqual({ base: 1, max: 2, slots: 1 });
  expect(share(false, true, false)).toEqual(share(false, false, false));
  const equal = { type: "equal", proxies } as const;
  expect(computeShare(connections, target, equal, true)).toEqual(
    computeShare(connections, target, equal),
  );
});

// Guards against a limit of connections that is exceeded while a takeover has two gateways act.
test.each([37, 46, 56])("two acting gateways fit into a limit of %i connections", (limit) => {
  const rule = { type: "chosen", proxies, isFirst: false } as const;
  const acting = computeShare(limit, target, { ...rule, isActing: true }, true);
  const other = computeShare(limit, target, rule, true);
  expect(2 * acting.max + (proxies - 2) * other.max).toBeLessThanOrEqual(limit);
});
