import type { TargetReport } from "../statement/index.js";
import type { Reachability } from "./decide.js";
import type { LeadershipPorts, Proxy, TargetAnswer, TargetQuestion } from "./ports.js";

/** A status takes a round trip of 1 to 3 ms and a slot; twice the longest usual work. */
const askTimeoutMs = 200;
/** A question through another proxy takes a round trip more, on a busy one some tens of milliseconds. */
const relayTimeoutMs = 150;

/** What an inquiry needs. */
export type TargetInquirerPorts = Pick<
  LeadershipPorts,
  "vm" | "peers" | "askTarget" | "listProxies" | "listGroupProxies"
>;

/** Asks targets from here and through the other proxies. */
export class TargetInquirer {
  constructor(private readonly ports: TargetInquirerPorts) {}

  /** Asks every proxy that holds the group's connections, this one included, for a fresh answer of a primary. */
  async measureReachability(group: string, target: string): Promise<Reachability> {
    const question = { group, target, demoteRound: undefined };
    const answers = await Promise.all([
      this.askDirectly(question),
      ...this.askThroughOthers(question),
    ]);
    const known = answers.filter((answer) => answer !== undefined);
    const reaching = known.filter(showsLeadingPrimary).length;
    return {
      reaching,
      notReaching: known.length - reaching,
      silent: answers.length - known.length,
    };
  }

  /**
   * Asks a target from here and through all others that hold its connections at once, for the first answer. A primary that
   * is being replaced is likely not to be reached from here: one after the other, each question to it
   * took 0.55 s.
   */
  askThroughAll(question: TargetQuestion): Promise<TargetReport | undefined> {
    const answers = [this.askDirectly(question), ...this.askThroughOthers(question)];
    return findFirstDefined(answers.map(async (answer) => findReport(await answer)));
  }

  /** Asks a target from here, else through the other proxies. */
  async askWithFallback(question: TargetQuestion): Promise<TargetReport | undefined> {
    const own = findReport(await this.askDirectly(question));
    if (own !== undefined) return own;
    return findFirstDefined(
      this.askThroughOthers(question).map(async (answer) => findReport(await answer)),
    );
  }

  /** The other proxies that are registered. */
  listOtherProxies(): readonly Proxy[] {
    return this.ports.listProxies().filter((proxy) => proxy.vm !== this.ports.vm);
  }

  private askDirectly(question: TargetQuestion): Promise<TargetAnswer> {
    return this.ports.askTarget(question, askTimeoutMs);
  }

  private askThroughOthers(question: TargetQuestion): readonly Promise<TargetAnswer | undefined>[] {
    const { peers, vm, listGroupProxies: listHolders } = this.ports;
    // Others hold no connection to the target, and would open one each at the same time.
    const holders = listHolders(question.group).filter((proxy) => proxy.vm !== vm);
    return holders.map((proxy) => peers.askTarget(proxy, question, askTimeoutMs + relayTimeoutMs));
  }
}

function findReport(answer: TargetAnswer | undefined): TargetReport | undefined {
  return answer?.type === "report" ? answer.report : undefined;
}

/**
 * Whether an answer shows that the primary runs and leads. One whose slots are all taken runs: taken as
 * gone, a primary would be replaced because much is asked of it, and the next one after it.
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

/** The first of some answers that is one; none when all are over without. */
async function findFirstDefined<T>(
  answers: readonly Promise<T | undefined>[],
): Promise<T | undefined> {
  const found = answers.map(async (answer) => {
    const value = await answer;
    if (value === undefined) throw new Error("no answer");
    return value;
  });
  // All were over without an answer: that is no fault of this program.
  return Promise.any(found).catch(() => undefined);
}
