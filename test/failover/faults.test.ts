import { expect, jest, test } from "@jest/globals";
import { maxFailoverMs, FailoverScenario } from "./scenario.js";

const replicas = (primary: string) => ["t1", "t2", "t3"].filter((t) => t !== primary);

// The primary's process dies and its connections break. Probes on a new connection and from two
// other VMs fail too, so the other targets are fenced and the one with the highest mark becomes
// primary. Writes fail only until then.
test("a crashed primary is replaced and becomes a replica when it returns", async () => {
  const scenario = new FailoverScenario();
  const old = await scenario.waitUntilSteady();
  scenario.group.setState(old, "dead");
  const next = await scenario.findPrimary("v1", old);
  expect(await scenario.write()).toBe("acknowledged");
  scenario.group.setState(old, "up");
  await scenario.clock.advance(maxFailoverMs);
  expect(scenario.group.get(old).follows).toBe(next);
  expect(scenario.group.get(old).log).toEqual(scenario.group.get(next).log);
  await scenario.end();
});

// The primary freezes, is replaced, and resumes in the belief that it is still primary. It must not
// acknowledge the write that was pending: its caller is told that the write may have run.
test("a primary that was frozen acknowledges nothing when it resumes", async () => {
  const scenario = new FailoverScenario();
  const old = await scenario.waitUntilSteady();
  scenario.group.setState(old, "frozen");
  const stuck = scenario.fleet.write("v1", "stuck", "witnessed", 1000);
  const next = await scenario.findPrimary("v1", old);
  scenario.group.setState(old, "up");
  await scenario.clock.advance(maxFailoverMs);
  expect(await stuck).toBe("mayHaveRun");
  expect(scenario.group.get(old).follows).toBe(next);
  await scenario.end();
});

// Guards against an unnecessary failover, which would interrupt writes. The connection to the
// primary hangs permanently, but a new connection works.
test("a connection that hangs does not cause a failover", async () => {
  const scenario = new FailoverScenario();
  const old = await scenario.waitUntilSteady();
  scenario.group.setFault("v1", old, "silent");
  await scenario.clock.advance(maxFailoverMs);
  expect(scenario.primary()).toBe(old);
  expect(await scenario.write()).toBe("acknowledged");
  expect(scenario.group.promotions).toHaveLength(1);
  await scenario.end();
});

// Guards against an unnecessary failover. Each answer of the primary takes longer than the one
// before, but never as long as the timeout of a probe on a new connection, so slow writes continue.
test("a primary that slows down keeps its role", async () => {
  const scenario = new FailoverScenario();
  const old = await scenario.waitUntilSteady();
  for (const extraMs of [50, 120, 180]) {
    for (const vm of ["v1", "v2", "v3"]) scenario.group.setSlow(vm, old, extraMs);
    await scenario.clock.advance(maxFailoverMs);
  }
  expect(scenario.group.promotions).toHaveLength(1);
  await scenario.end();
});

// Only the owner has lost its connection to the primary. It refuses its own callers, but must not
// fence the primary, which works for all other VMs.
test("an observer that alone is cut off from the primary does not fence it", async () => {
  const scenario = new FailoverScenario();
  const old = await scenario.waitUntilSteady();
  scenario.group.setFault("v1", old, "cut");
  await scenario.clock.advance(maxFailoverMs);
  expect(scenario.fleet.watch("v1").isCutOff).toBe(true);
  expect(scenario.group.promotions).toHaveLength(1);
  await scenario.findPrimary("v2");
  expect(await scenario.write("v2")).toBe("acknowledged");
  scenario.group.setFault("v1", old, "none");
  expect(await scenario.findPrimary("v1")).toBe(old);
  await scenario.end();
});

// The same for an observer that reaches no majority of the targets and whose peers do not answer.
test("an observer on the minority side does not fence", async () => {
  const scenario = new FailoverScenario();
  const old = await scenario.waitUntilSteady();
  for (const target of ["t1", "t2", "t3"]) {
    if (target !== replicas(old)[0]) scenario.group.setFault("v1", target, "cut");
  }
  scenario.fleet.mute.add("v1");
  await scenario.clock.advance(maxFailoverMs);
  expect(scenario.fleet.watch("v1").isCutOff).toBe(true);
  expect(scenario.group.promotions).toHaveLength(1);
  await scenario.end();
});

// The candidate crashes while it is promoted and its answer is lost. The promoter repeats the
// request, then fences a majority again, which succeeds once the first primary is back, and writes
// resume.
test("the candidate crashes while it is promoted", async () => {
  const scenario = new FailoverScenario();
  const old = await scenario.waitUntilSteady();
  const [candidate = "", last = ""] = replicas(old);
  scenario.group.setState(old, "dead");
  await scenario.clock.advance(
    maxFailoverMs,
    () => scenario.group.get(candidate).fencedAt.round > 1,
  );
  scenario.group.setState(candidate, "dead");
  await scenario.clock.advance(maxFailoverMs);
  expect(scenario.primary()).toBeUndefined();
  scenario.group.setState(old, "up");
  expect(["t1", "t2", "t3"]).toContain(await scenario.findPrimary("v1", candidate));
  expect(await scenario.write()).toBe("acknowledged");
  expect(scenario.group.get(last).fencedAt.round).toBeGreaterThan(2);
  await scenario.end();
});

// Guards against a delay of half a second before the first write. The primary crashes right after
// its promotion. The remaining replica was just sent a follow request, but for the previous
// primary, so it must be sent another one at once.
test("a primary that crashes right after its promotion", async () => {
  const scenario = new FailoverScenario();
  const old = await scenario.waitUntilSteady();
  scenario.group.setState(old, "dead");
  const next = await scenario.findPrimary("v1", old);
  const last = scenario.group.get(replicas(old).find((t) => t !== next) ?? "");
  expect(await scenario.clock.advance(20, () => last.follows === next)).toBe(true);
  await scenario.end();
});

// Guards against a replica that starts replication twice, which delays the first write. A statement
// uses an old, broken connection to the new primary and causes a suspicion, which the next answer
// clears. The follow request just sent must not be repeated: it makes the replica reconnect.
test("a suspicion that is cleared right after a promotion", async () => {
  const scenario = new FailoverScenario();
  const old = await scenario.waitUntilSteady();
  scenario.group.setState(old, "dead");
  const next = await scenario.findPrimary("v1", old);
  const last = scenario.group.get(replicas(old).find((t) => t !== next) ?? "");
  const follow = jest.spyOn(last, "follow");
  scenario.fleet.watch("v1").reportConnectionFailure(next);
  await scenario.clock.advance(100);
  expect(follow).toHaveBeenCalledTimes(1);
  await scenario.end();
});

// The answer to a promotion that succeeded is lost. The request is repeated in the same term, the
// target accepts it again, and writes resume.
test("the answer to a promotion is lost", async () => {
  const scenario = new FailoverScenario();
  const old = await scenario.waitUntilSteady();
  const [candidate = ""] = replicas(old);
  scenario.group.setState(old, "dead");
  scenario.group.onPromotion = () => scenario.group.setFault("v1", candidate, "answersLost");
  await scenario.clock.advance(maxFailoverMs, () => scenario.group.promotions.length > 1);
  await scenario.clock.advance(300);
  scenario.group.setFault("v1", candidate, "none");
  expect(await scenario.findPrimary("v1", old)).toBe(candidate);
  expect(scenario.group.promotions).toHaveLength(2);
  await scenario.end();
});

// Two VMs detect the primary's crash at the same time and each fences at its own term. The one that
// is refused backs off with jitter until it learns of the other's primary.
test("rival promoters settle on one primary", async () => {
  const scenario = new FailoverScenario();
  const old = await scenario.waitUntilSteady();
  await scenario.findPrimary("v2");
  scenario.group.setState(old, "dead");
  await scenario.clock.advance(maxFailoverMs);
  const next = await scenario.findPrimary("v1", old);
  expect(await scenario.findPrimary("v2", old)).toBe(next);
  expect(await scenario.write("v1")).toBe("acknowledged");
  expect(await scenario.write("v2")).toBe("acknowledged");
  await scenario.end();
});

// A promoter crashes after it has fenced one replica, which then replicates from no primary. One
// more failure would stop the group, so the owner opens a new term in which the replica rejoins.
test("a target fenced by a promoter that crashed rejoins", async () => {
  const scenario = new FailoverScenario();
  const primary = await scenario.waitUntilSteady();
  const [stray = ""] = replicas(primary);
  scenario.group.get(stray).fence({ round: 9, vm: "dead" });
  await scenario.clock.advance(maxFailoverMs);
  expect(await scenario.write()).toBe("acknowledged");
  await scenario.clock.advance(maxFailoverMs);
  expect(scenario.primary()).toBe(primary);
  expect(scenario.group.get(stray).follows).toBe(primary);
  await scenario.end();
});

// A leaving primary hands over as soon as a replica has its whole log. Writes wait briefly and no
// caller gets an error.
test("a planned switch moves the primary role from a leaving target", async () => {
  const scenario = new FailoverScenario();
  const old = await scenario.waitUntilSteady();
  scenario.fleet.watch("v1").requestSwitchover(old);
  await scenario.findPrimary("v1", old);
  expect(await scenario.write()).toBe("acknowledged");
  await scenario.end();
});

// A group was set up without a designated primary, so each target acts as primary of the first
// term. Nothing may be acknowledged until only one primary is left.
test("of targets that are all primary in the first term one stays primary", async () => {
  const scenario = new FailoverScenario();
  for (const target of scenario.group.targets) target.role = "primary";
  await scenario.findPrimary();
  await scenario.clock.advance(maxFailoverMs);
  const primary = await scenario.findPrimary();
  expect(scenario.group.targets.filter((t) => t.role === "primary")).toHaveLength(1);
  expect(scenario.group.get(primary).fencedAt.round).toBeGreaterThan(0);
  expect(await scenario.write()).toBe("acknowledged");
  await scenario.end();
});

// A promote request is pending at a frozen target while two later terms get their primaries. When
// the target resumes, it is primary of its old term, must acknowledge nothing, and follows when it
// is asked to. Callers are not affected.
test("a promotion reaches a frozen target after its term was superseded", async () => {
  const scenario = new FailoverScenario();
  const old = await scenario.waitUntilSteady();
  const [candidate = ""] = replicas(old);
  scenario.group.setState(old, "dead");
  await scenario.clock.advance(
    maxFailoverMs,
    () => scenario.group.get(candidate).fencedAt.round > 1,
  );
  scenario.group.setState(candidate, "frozen");
  await scenario.clock.advance(700);
  scenario.group.setState(old, "up");
  const next = await scenario.findPrimary("v1", candidate);
  expect(await scenario.write()).toBe("acknowledged");
  scenario.group.setState(candidate, "up");
  await scenario.clock.advance(maxFailoverMs);
  const late = scenario.group.promotions.at(-1);
  expect(late).toEqual({
    target: candidate,
    term: expect.objectContaining({ round: 2 }) as unknown,
  });
  expect(scenario.primary()).toBe(next);
  expect(scenario.group.get(candidate).log).toEqual(scenario.group.get(next).log);
  await scenario.end();
});

// A paused owner resumes after another VM has changed the primary. Its timers are overdue and old
// answers are waiting. It must neither fence the new primary nor acknowledge writes of the old one.
test("a paused owner resumes after a failover", async () => {
  const scenario = new FailoverScenario();
  const old = await scenario.waitUntilSteady();
  await scenario.findPrimary("v2");
  scenario.fleet.vm("v1").pause();
  const late = scenario.fleet.write("v1", "late", "witnessed", maxFailoverMs);
  await scenario.clock.advance(10);
  scenario.group.setState(old, "dead");
  const next = await scenario.findPrimary("v2", old);
  expect(await scenario.write("v2")).toBe("acknowledged");
  scenario.fleet.vm("v1").resume();
  await scenario.clock.advance(2 * maxFailoverMs);
  expect(await late).toBe("mayHaveRun");
  expect(scenario.primary("v1")).toBe(next);
  expect(scenario.group.promotions).toHaveLength(2);
  await scenario.end();
});
