import {
  adjustPair,
  findMovedPart,
  measureRead,
  recordResponse,
  type ReadOutcome,
  type ResponseEstimate,
  type SharePair,
} from "../../src/gateway/gateway-share.js";
import { makeRandom } from "../fleet/fakes.js";

/** A gateway on virtual time: a queue that is worked off at `perSecond`, and a delay for each read. */
export interface SimulatedGateway {
  /** The milliseconds that a read takes without a queue. */
  delayMs: number;
  /** The reads of all nodes that it answers in a second. */
  perSecond: number;
  /** Whether it refuses all reads at once. */
  isRefusing: boolean;
}

/** One second of a simulation. */
export interface SimulatedSecond {
  /** The part of all reads that the preferred gateway was sent. */
  readonly preferredPart: number;
  /** The mean response time of the reads that were not refused. */
  readonly meanMs: number;
  readonly refusedPart: number;
}

interface EntryNode {
  preferred: ResponseEstimate | undefined;
  other: ResponseEstimate | undefined;
  pair: SharePair | undefined;
}

const stepMs = 10;
/** A read waits in a queue for this long at most, and is then refused, in milliseconds. */
const deadlineMs = 800;

export const makeGateway = (options: Partial<SimulatedGateway> = {}): SimulatedGateway => ({
  delayMs: 15,
  perSecond: Infinity,
  isRefusing: false,
  ...options,
});

interface PendingRead {
  readonly node: EntryNode;
  readonly isPreferred: boolean;
  readonly sentAt: number;
  readonly endsAt: number;
  readonly outcome: ReadOutcome;
}

/** Entry nodes that decide each for itself, and send reads to the same two gateways on virtual time. */
export class ShareFleet {
  readonly preferred = makeGateway();
  readonly other = makeGateway();
  private readonly nodes: readonly EntryNode[];
  private readonly random;
  private backlogs = { preferred: 0, other: 0 };
  private pending: PendingRead[] = [];
  private now = 0;

  constructor(
    nodes: number,
    private readonly readsPerNode: number,
    seed: number,
  ) {
    this.nodes = Array.from({ length: nodes }, () => ({
      preferred: undefined,
      other: undefined,
      pair: undefined,
    }));
    this.random = makeRandom(seed);
  }

  /** Runs for some seconds and describes each. */
  run(seconds: number): readonly SimulatedSecond[] {
    return Array.from({ length: seconds }, () => this.runSecond());
  }

  private runSecond(): SimulatedSecond {
    const sent: PendingRead[] = [];
    for (let t = 0; t < 1000; t += stepMs) {
      this.now += stepMs;
      this.workOff();
      this.receive();
      for (const node of this.nodes) {
        if (this.random.draw() < (this.readsPerNode * stepMs) / 1000) sent.push(this.send(node));
      }
    }
    const complete = sent.filter(({ outcome }) => outcome.type === "complete");
    const totalMs = complete.reduce((sum, { sentAt, endsAt }) => sum + endsAt - sentAt, 0);
    return {
      preferredPart: sent.filter(({ isPreferred }) => isPreferred).length / sent.length,
      meanMs: totalMs / Math.max(1, complete.length),
      refusedPart: 1 - complete.length / sent.length,
    };
  }

  private workOff(): void {
    const work = (backlog: number, { perSecond }: SimulatedGateway) =>
      Math.max(0, backlog - (perSecond * stepMs) / 1000);
    this.backlogs = {
      preferred: work(this.backlogs.preferred, this.preferred),
      other: work(this.backlogs.other, this.other),
    };
  }

  private send(node: EntryNode): PendingRead {
    const movedPart = findMovedPart(node.pair, node.preferred, node.other, this.now);
    const name = this.random.draw() < movedPart ? "other" : "preferred";
    const gateway = this[name];
    const isPreferred = name === "preferred";
    const waitMs = (this.backlogs[name] / gateway.perSecond) * 1000 || 0;
    if (gateway.isRefusing || waitMs > deadlineMs) {
      const outcome = { type: "error", code: "busy" } as const;
      return this.add({ node, isPreferred, sentAt: this.now, endsAt: this.now + 2, outcome });
    }
    this.backlogs[name] += 1;
    // Half of a response time is constant, the rest varies as the statements do.
    const ms = waitMs + gateway.delayMs * (0.5 - 0.5 * Math.log(1 - this.random.draw()));
    const outcome = { type: "complete" } as const;
    return this.add({ node, isPreferred, sentAt: this.now, endsAt: this.now + ms, outcome });
  }

  private add(read: PendingRead): PendingRead {
    this.pending.push(read);
    return read;
  }

  private receive(): void {
    const ended = this.pending.filter(({ endsAt }) => endsAt <= this.now);
    this.pending = this.pending.filter(({ endsAt }) => endsAt > this.now);
    for (const { node, isPreferred, sentAt, endsAt, outcome } of ended) {
      const ms = measureRead(outcome, endsAt - sentAt, deadlineMs);
      if (ms === undefined) continue;
      if (isPreferred) node.preferred = recordResponse(node.preferred, ms, this.now);
      else node.other = recordResponse(node.other, ms, this.now);
      node.pair = adjustPair(node.pair, node.preferred, node.other, this.now);
    }
  }
}
