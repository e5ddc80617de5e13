import { get } from "node:http";
import type { Address, Disposable } from "../../../src/model/index.js";

/** A node as the balancer sees it. */
export interface BalancedNode {
  readonly zone: string;
  readonly callers: Address;
  readonly readiness: Address;
}

const probeIntervalMs = 1000;
const probeTimeoutMs = 1000;
const maxMisses = 2;
const okStatus = 200;

/**
 * Sends each connection to a node of the caller's zone. A node that has missed two probes gets no new
 * connections until it is ready again, unless fewer than half of the zone's nodes are left.
 */
export class Balancer implements Disposable {
  private readonly misses: number[];
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly nodes: readonly BalancedNode[],
    /** Whether callers of a zone can reach nodes of another one now. */
    private readonly isReachable: (from: string, to: string) => boolean = () => true,
  ) {
    this.misses = nodes.map(() => maxMisses);
    this.timer = setInterval(() => this.probeAll(), probeIntervalMs);
    this.probeAll();
  }

  dispose(): void {
    clearInterval(this.timer);
  }

  isReady(node: number): boolean {
    return (this.misses[node] ?? maxMisses) < maxMisses;
  }

  countReady(): number {
    return this.nodes.filter((_, node) => this.isReady(node)).length;
  }

  /** Chooses a node for a caller; each try of a caller goes to another one. */
  choose(zone: string, caller: number, attempt: number): number {
    const own = this.listNodes((node) => node.zone === zone);
    const ready = own.filter((node) => this.isReady(node));
    const usable = 2 * ready.length >= own.length ? ready : own;
    const fallback = ready.length > 0 ? usable : this.listReadyElsewhere(zone);
    const candidates = fallback.length > 0 ? fallback : own;
    return candidates[(hash(caller) + attempt) % candidates.length] ?? 0;
  }

  private listReadyElsewhere(from: string): readonly number[] {
    const reachable = this.listNodes(({ zone }) => this.isReachable(from, zone));
    return reachable.filter((node) => this.isReady(node));
  }

  private listNodes(matches: (node: BalancedNode) => boolean): readonly number[] {
    return this.nodes.flatMap((node, index) => (matches(node) ? [index] : []));
  }

  private probeAll(): void {
    for (const [index, { readiness }] of this.nodes.entries()) {
      void probe(readiness).then((isReady) => {
        this.misses[index] = isReady ? 0 : (this.misses[index] ?? 0) + 1;
      });
    }
  }
}

function probe({ host, port }: Address): Promise<boolean> {
  return new Promise((resolve) => {
    const request = get({ host, port, path: "/ready", timeout: probeTimeoutMs, agent: false });
    request.on("response", (response) => {
      response.resume();
      resolve(response.statusCode === okStatus);
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => resolve(false));
    request.on("close", () => resolve(false));
  });
}

const hashFactor = 2_654_435_761;

function hash(value: number): number {
  return Math.imul(value + 1, hashFactor) >>> 8;
}
