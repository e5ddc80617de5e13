import { shuffle } from "../system/index.js";
import type { TargetReport } from "../statement/index.js";
import type { Reachability } from "./decide.js";
import {
  findAnswer,
  type LeadershipPorts,
  type PeerResult,
  type Proxy,
  type TargetAnswer,
  type TargetQuestion,
} from "./ports.js";

/** A status request takes a round trip of 1 to 3 ms and a slot; this is twice the longest usual use of a slot. */
const askTimeoutMs = 200;
/** Added for a request through another proxy: one more round trip, some tens of milliseconds if that proxy is busy. */
const relayTimeoutMs = 150;

/** How many other proxies are asked first; if all of them reach the primary, the others would not change that. */
const firstProxies = 3;

/** Dependencies of a `TargetInquirer`. */
export type TargetInquirerPorts = Pick<
  LeadershipPorts,
  "vm" | "peers" | "askTarget" | "listProxies" | "listGroupProxies" | "random"
>;

/** Sends status requests to targets, directly and through other proxies. */
export class TargetInquirer {
  constructor(private readonly ports: TargetInquirerPorts) {}

  /**
   * Counts the proxies that reach a primary now, among those that hold the group's connections (this one
   * included). If a few of them all reach it, the others are not asked: while processors are busy, many
   * proxies suspect a primary at once, and each opens a connection to it for each question.
   */
  async measureReachability(group: string, target: string): Promise<Reachability> {
    const question = { group, target, demoteRound: undefined };
    const holders = this.listOtherHolders(group);
    const own = this.askDirectly(question).then(toResult);
    const first = await Promise.all([
      own,
      ...this.askThrough(holders.slice(0, firstProxies), question),
    ]);
    const sample = countReaching(first);
    if (sample.reaching >= firstProxies) return sample;
    const others = await Promise.all(this.askThrough(holders.slice(firstProxies), question));
    return countReaching([...first, ...others]);
  }

  /** Whether this proxy reaches any of some targets now. */
  async reachesAny(group: string, targets: readonly string[]): Promise<boolean> {
    const answers = targets.map(async (target) => {
      const answer = await this.askDirectly({ group, target, demoteRound: undefined });
      return answer.type === "silent" ? undefined : answer;
    });
    return (await findFirstDefined(answers)) !== undefined;
  }

  /**
   * Asks a target directly and through all other proxies that hold its connections, and resolves to the first report.
   * The requests run in parallel since a primary that is being replaced is often unreachable from this proxy: in
   * sequence, each question to it took 0.55 s.
   */
  askThroughAll(question: TargetQuestion): Promise<TargetReport | undefined> {
    const own = this.askDirectly(question).then(toResult);
    const answers = [own, ...this.askThroughOthers(question)];
    return findFirstDefined(answers.map(async (answer) => findReport(await answer)));
  }

  /** Asks a target directly, and through the other proxies only if that yields no report. */
  async askWithFallback(question: TargetQuestion): Promise<TargetReport | undefined> {
    const own = findReport(toResult(await this.askDirectly(question)));
    if (own !== undefined) return own;
    return findFirstDefined(
      this.askThroughOthers(question).map(async (answer) => findReport(await answer)),
    );
  }

  /** All registered proxies except this one. */
  listOtherProxies(): readonly Proxy[] {
    return this.ports.listProxies().filter((proxy) => proxy.vm !== this.ports.vm);
  }

  private askDirectly(question: TargetQuestion): Promise<TargetAnswer> {
    return this.ports.askTarget(question, askTimeoutMs);
  }

  private askThroughOthers(question: TargetQuestion): readonly Promise<PeerResult<TargetAnswer>>[] {
    return this.askThrough(this.listOtherHolders(question.group), question);
  }

  private askThrough(
    proxies: readonly Proxy[],
    question: TargetQuestion,
  ): readonly Promise<PeerResult<TargetAnswer>>[] {
    const { peers } = this.ports;
    return proxies.map((proxy) => peers.askTarget(proxy, question, askTimeoutMs + relayTimeoutMs));
  }

  /**
   * The other proxies that hold the group's connections, in random order. The rest hold none; asking them would
   * make each of them open one at once.
   */
  private listOtherHolders(group: string): readonly Proxy[] {
    const { vm, listGroupProxies, random } = this.ports;
    return shuffle(
      listGroupProxies(group).filter((proxy) => proxy.vm !== vm),
      random,
    );
  }
}

function toResult(answer: TargetAnswer): PeerResult<TargetAnswer> {
  return { type: "answered", answer };
}

function countReaching(results: readonly PeerResult<TargetAnswer>[]): Reachability {
  const known = results.flatMap((result) => findAnswer(result) ?? []);
  const reaching = known.filter(showsLeadingPrimary).length;
  const silent = results.filter(({ type }) => type === "silent").length;
  return { reaching, notReaching: known.length - reaching, silent };
}

function findReport(result: PeerResult<TargetAnswer>): TargetReport | undefined {
  const answer = findAnswer(result);
  return answer?.type === "report" ? answer.report : undefined;
}

/**
 * Whether an answer shows that the target is running as primary. One whose slots are all in use counts as
 * running: otherwise an overloaded primary would be replaced, and then its successor under the same load.
 */
function showsLeadingPrimary(answer: TargetAnswer): boolean {
  switch (answer.type) {
    case "report":
      return answer.report.role === "primary";
    case "alive":
      return true;
    case "silent":
      return false;
  }
}

/** Resolves to the first defined value, or to `undefined` if there is none. */
async function findFirstDefined<T>(
  answers: readonly Promise<T | undefined>[],
): Promise<T | undefined> {
  const found = answers.map(async (answer) => {
    const value = await answer;
    if (value === undefined) throw new Error("no answer");
    return value;
  });
  // `any` rejects if no promise yields a value, which is a regular outcome here.
  return Promise.any(found).catch(() => undefined);
}
