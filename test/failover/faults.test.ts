import { expect, jest, test } from "@jest/globals";
import { longMs, Scene } from "./scene.js";

const replicas = (primary: string) => ["t1", "t2", "t3"].filter((t) => t !== primary);

// Writes fail for a moment. The primary's process dies, its connections break, a new connection and
// two other VMs find it dead too, the others are fenced, and the one with the highest mark leads.
test("a dead primary is replaced and follows when it comes back", async () => {
  const scene = new Scene();
  const old = await scene.settle();
  scene.group.setState(old, "dead");
  const next = await scene.findPrimary("v1", old);
  expect(await scene.write()).toBe("acknowledged");
  scene.group.setState(old, "up");
  await scene.clock.advance(longMs);
  expect(scene.group.get(old).follows).toBe(next);
  expect(scene.group.get(old).log).toEqual(scene.group.get(next).log);
  await scene.end();
});

// A caller whose owner was cut off with the old primary waits in vain and hears that its write may
// have run. The old primary was frozen while it was replaced, and comes back believing it leads.
test("a primary that was frozen acknowledges nothing when it wakes up", async () => {
  const scene = new Scene();
  const old = await scene.settle();
  scene.group.setState(old, "frozen");
  const stuck = scene.fleet.write("v1", "stuck", "witnessed", 1000);
  const next = await scene.findPrimary("v1", old);
  scene.group.setState(old, "up");
  await scene.clock.advance(longMs);
  expect(await stuck).toBe("mayHaveRun");
  expect(scene.group.get(old).follows).toBe(next);
  await scene.end();
});

// Nothing but a short stall is seen. The connection to the primary goes silent for good, a new one
// works; were the primary taken for dead, writes would stop for a change that nobody needed.
test("a silent connection does not cost the primary its role", async () => {
  const scene = new Scene();
  const old = await scene.settle();
  scene.group.setFault("v1", old, "silent");
  await scene.clock.advance(longMs);
  expect(scene.primary()).toBe(old);
  expect(await scene.write()).toBe("acknowledged");
  expect(scene.group.promotions).toHaveLength(1);
  await scene.end();
});

// Writes are slow and go on. Each answer of the primary takes longer, and never reaches the time
// after which a new connection is taken for dead.
test("a primary that slows down keeps its role", async () => {
  const scene = new Scene();
  const old = await scene.settle();
  for (const extraMs of [50, 120, 180]) {
    for (const vm of ["v1", "v2", "v3"]) scene.group.setSlow(vm, old, extraMs);
    await scene.clock.advance(longMs);
  }
  expect(scene.group.promotions).toHaveLength(1);
  await scene.end();
});

// The owner's callers are refused, and everybody else's go on: the owner alone has lost the primary.
// A fence from it would stop a primary that works.
test("an observer that is cut off from the primary alone does not fence it", async () => {
  const scene = new Scene();
  const old = await scene.settle();
  scene.group.setFault("v1", old, "cut");
  await scene.clock.advance(longMs);
  expect(scene.fleet.watch("v1").isCutOff).toBe(true);
  expect(scene.group.promotions).toHaveLength(1);
  await scene.findPrimary("v2");
  expect(await scene.write("v2")).toBe("acknowledged");
  scene.group.setFault("v1", old, "none");
  expect(await scene.findPrimary("v1")).toBe(old);
  await scene.end();
});

// The same for one that reaches no majority of targets, and whose peers are silent.
test("an observer on the minority side does not fence", async () => {
  const scene = new Scene();
  const old = await scene.settle();
  for (const target of ["t1", "t2", "t3"]) {
    if (target !== replicas(old)[0]) scene.group.setFault("v1", target, "cut");
  }
  scene.fleet.mute.add("v1");
  await scene.clock.advance(longMs);
  expect(scene.fleet.watch("v1").isCutOff).toBe(true);
  expect(scene.group.promotions).toHaveLength(1);
  await scene.end();
});

// Writes resume after two failures. The choice dies as it is promoted, its answer is lost; the
// promoter asks again, then fences a majority anew, which it gets once the first primary is back.
test("the choice dies while it is promoted", async () => {
  const scene = new Scene();
  const old = await scene.settle();
  const [choice = "", last = ""] = replicas(old);
  scene.group.setState(old, "dead");
  await scene.clock.advance(longMs, () => scene.group.get(choice).fencedAt.round > 1);
  scene.group.setState(choice, "dead");
  await scene.clock.advance(longMs);
  expect(scene.primary()).toBeUndefined();
  scene.group.setState(old, "up");
  expect(["t1", "t2", "t3"]).toContain(await scene.findPrimary("v1", choice));
  expect(await scene.write()).toBe("acknowledged");
  expect(scene.group.get(last).fencedAt.round).toBeGreaterThan(2);
  await scene.end();
});

// The first write waits for half a second more than it must. The primary dies right after a change of
// primary; the remaining replica, told a moment ago to follow, must be told again at once, since it
// was told of another primary.
test("a primary that dies right after its promotion", async () => {
  const scene = new Scene();
  const old = await scene.settle();
  scene.group.setState(old, "dead");
  const next = await scene.findPrimary("v1", old);
  const last = scene.group.get(replicas(old).find((t) => t !== next) ?? "");
  expect(await scene.clock.advance(20, () => last.follows === next)).toBe(true);
  await scene.end();
});

// The first write waits for a replica that starts to copy twice. A statement meets a connection to
// the new primary that broke long ago, and its hint is cleared by the next answer; the replica, told
// a moment ago, must not be told again, since that makes it open its link anew.
test("a hint that is cleared right after a promotion", async () => {
  const scene = new Scene();
  const old = await scene.settle();
  scene.group.setState(old, "dead");
  const next = await scene.findPrimary("v1", old);
  const last = scene.group.get(replicas(old).find((t) => t !== next) ?? "");
  const follow = jest.spyOn(last, "follow");
  scene.fleet.watch("v1").reportConnectionFailure(next);
  await scene.clock.advance(100);
  expect(follow).toHaveBeenCalledTimes(1);
  await scene.end();
});

// Writes resume as if nothing had been lost. The promotion's answer is lost and it did happen:
// asked again in the same term, the target says so.
test("the promotion's answer is lost", async () => {
  const scene = new Scene();
  const old = await scene.settle();
  const [choice = ""] = replicas(old);
  scene.group.setState(old, "dead");
  scene.group.onPromotion = () => scene.group.setFault("v1", choice, "answersLost");
  await scene.clock.advance(longMs, () => scene.group.promotions.length > 1);
  await scene.clock.advance(300);
  scene.group.setFault("v1", choice, "none");
  expect(await scene.findPrimary("v1", old)).toBe(choice);
  expect(scene.group.promotions).toHaveLength(2);
  await scene.end();
});

// Writes resume once. Two VMs find the primary dead at the same time; each fences at a term of its
// own, and the one refused waits with jitter until it sees the other's primary.
test("rival promoters settle on one primary", async () => {
  const scene = new Scene();
  const old = await scene.settle();
  await scene.findPrimary("v2");
  scene.group.setState(old, "dead");
  await scene.clock.advance(longMs);
  const next = await scene.findPrimary("v1", old);
  expect(await scene.findPrimary("v2", old)).toBe(next);
  expect(await scene.write("v1")).toBe("acknowledged");
  expect(await scene.write("v2")).toBe("acknowledged");
  await scene.end();
});

// A promoter dies after it has fenced one replica, which from then on copies from nobody; one more
// failure would stop the group. The owner takes it in again with a new term.
test("a target left behind a dead promoter's fence is taken in again", async () => {
  const scene = new Scene();
  const primary = await scene.settle();
  const [stray = ""] = replicas(primary);
  scene.group.get(stray).fence({ round: 9, vm: "dead" });
  await scene.clock.advance(longMs);
  expect(await scene.write()).toBe("acknowledged");
  await scene.clock.advance(longMs);
  expect(scene.primary()).toBe(primary);
  expect(scene.group.get(stray).follows).toBe(primary);
  await scene.end();
});

// Writes wait for a moment and no caller sees an error. The leaving primary hands over as soon as a
// replica holds all it has.
test("a planned switch moves the role away from a leaving target", async () => {
  const scene = new Scene();
  const old = await scene.settle();
  scene.fleet.watch("v1").requestSwitchover(old);
  await scene.findPrimary("v1", old);
  expect(await scene.write()).toBe("acknowledged");
  await scene.end();
});

// Nothing is acknowledged until one primary is left. A group was set up without telling its targets
// whom to follow, and each of them believes that it leads the first term.
test("targets that all lead the first term are left with one primary", async () => {
  const scene = new Scene();
  for (const target of scene.group.targets) target.role = "primary";
  await scene.findPrimary();
  await scene.clock.advance(longMs);
  const primary = await scene.findPrimary();
  expect(scene.group.targets.filter((t) => t.role === "primary")).toHaveLength(1);
  expect(scene.group.get(primary).fencedAt.round).toBeGreaterThan(0);
  expect(await scene.write()).toBe("acknowledged");
  await scene.end();
});

// Callers see nothing. A promotion waits at a frozen target until two later terms have had their
// primaries; the target then leads its old term, acknowledges nothing, and follows once it is told.
test("a promotion reaches a frozen target after its term was superseded", async () => {
  const scene = new Scene();
  const old = await scene.settle();
  const [choice = ""] = replicas(old);
  scene.group.setState(old, "dead");
  await scene.clock.advance(longMs, () => scene.group.get(choice).fencedAt.round > 1);
  scene.group.setState(choice, "frozen");
  await scene.clock.advance(700);
  scene.group.setState(old, "up");
  const next = await scene.findPrimary("v1", choice);
  expect(await scene.write()).toBe("acknowledged");
  scene.group.setState(choice, "up");
  await scene.clock.advance(longMs);
  const late = scene.group.promotions.at(-1);
  expect(late).toEqual({ target: choice, term: expect.objectContaining({ round: 2 }) as unknown });
  expect(scene.primary()).toBe(next);
  expect(scene.group.get(choice).log).toEqual(scene.group.get(next).log);
  await scene.end();
});

// A paused owner wakes up after another has changed the primary, with its timers overdue and old
// answers waiting. It must neither fence the new primary nor vouch for the old one's writes.
test("a paused owner wakes up after a failover", async () => {
  const scene = new Scene();
  const old = await scene.settle();
  await scene.findPrimary("v2");
  scene.fleet.vm("v1").pause();
  const late = scene.fleet.write("v1", "late", "witnessed", longMs);
  await scene.clock.advance(10);
  scene.group.setState(old, "dead");
  const next = await scene.findPrimary("v2", old);
  expect(await scene.write("v2")).toBe("acknowledged");
  scene.fleet.vm("v1").resume();
  await scene.clock.advance(2 * longMs);
  expect(await late).toBe("mayHaveRun");
  expect(scene.primary("v1")).toBe(next);
  expect(scene.group.promotions).toHaveLength(2);
  await scene.end();
});
