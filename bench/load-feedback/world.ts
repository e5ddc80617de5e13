import type { AdmissionEffect } from "../../src/controller/admission/index.js";
import { EntryLoads } from "../../src/gateway/entry-loads.js";
import { GatewayRouter, type DestinationSource } from "../../src/gateway/router.js";
import { silentLogger } from "../../src/log/index.js";
import { singleRegion } from "../../src/topology/index.js";
import { Agenda } from "../admission/agenda.js";
import type { BenchRandom } from "../admission/random.js";
import { primaryTarget, replicaTargets, slotsPerTarget, type Arrival } from "../levels/workload.js";
import { computeMaxQueueMs } from "../levels/world.js";
import { announced, config, dataCentres, group, proxies } from "./deployment.js";
import { BenchGateway } from "./gateway.js";

/** What became of one statement. */
export interface Outcome {
  readonly arrival: Arrival;
  readonly answeredAfterMs: number | undefined;
}

/** Counts of one run. */
export interface Counts {
  /** Tries that a gateway refused, each of which cost a message in each direction. */
  gatewayRefusals: number;
  /** Tries that the entry node refused without a message. */
  entryRefusals: number;
  /** Tries that were refused at the entry node although one of the gateways would have admitted them. */
  wrongRefusals: number;
  /** The levels that entry nodes refused. */
  readonly refusedLevels: Set<number>;
}

const tickMs = 50;
/** One way between an entry node and a gateway. */
const hopMs = 0.9;
/** Callers send a refused statement again until its deadline, at most so often in all. */
const maxTries = 3;

interface Job {
  readonly arrival: Arrival;
  readonly node: number;
  triesLeft: number;
  gateway?: BenchGateway;
  sentAt: number;
}

interface EntryNode {
  readonly loads: EntryLoads;
  readonly router: GatewayRouter;
}

/** Entry nodes, the gateways of one group and its targets in virtual time. */
export class World {
  readonly counts: Counts = {
    gatewayRefusals: 0,
    entryRefusals: 0,
    wrongRefusals: 0,
    refusedLevels: new Set(),
  };
  readonly gateways = new Map<string, BenchGateway>();
  private readonly agenda = new Agenda();
  private readonly nodes: readonly EntryNode[];
  private readonly jobs = new Map<string, Job>();
  private readonly outcomes: Outcome[] = [];
  /** What runs at each target, and what waits there for one of its slots. */
  private readonly running = new Map<string, number>();
  private readonly queues = new Map<string, (() => void)[]>();
  private nextId = 1;

  constructor(
    nodeCount: number,
    private readonly hasReports: boolean,
    private readonly random: BenchRandom,
  ) {
    this.nodes = Array.from({ length: nodeCount }, (_, i) => this.createNode(i));
    this.createGateways();
  }

  /** Runs statements to their ends; `findNode` gives the entry node of each. */
  run(
    arrivals: readonly Arrival[],
    findNode: (arrival: Arrival) => number,
    untilMs: number,
  ): readonly Outcome[] {
    for (const arrival of arrivals) {
      const job: Job = { arrival, node: findNode(arrival), triesLeft: maxTries, sentAt: 0 };
      this.agenda.add(arrival.at, () => this.try(job));
    }
    for (let at = tickMs; at < untilMs; at += tickMs) {
      this.agenda.add(at, () => {
        for (const gateway of this.gateways.values()) gateway.apply({ type: "tick", at });
      });
    }
    this.agenda.run(untilMs);
    return this.outcomes;
  }

  private createNode(index: number): EntryNode {
    const dataCentre = dataCentres[index % dataCentres.length] ?? "a";
    const loads = new EntryLoads({
      clock: { now: () => this.agenda.now },
      random: this.random,
      logger: silentLogger,
      isSlotPlanned: () => this.hasReports,
      getServingConfig: () => config,
      isGateway: () => true,
      onRefused: () => undefined,
    });
    const router = new GatewayRouter({
      vm: `entry-${index}`,
      dataCentre,
      topology: singleRegion,
      listProxies: () => proxies,
      findGroup: () => announced,
      findLeader: () => ({ type: "serving", target: primaryTarget }),
      isListed: () => false,
      isAvoided: () => false,
      isSlotPlanned: () => true,
      loads,
      onNoneAccepted: () => undefined,
    });
    return { loads, router };
  }

  private createGateways(): void {
    const router = this.nodes[0]?.router;
    const chosen = router?.listGroupGateways(group) ?? [];
    const seen = new Set<string>();
    for (const { vm, dataCentre = "" } of chosen) {
      const own = announced.targets.find((t) => t.dataCentre === dataCentre);
      const isActing = own !== undefined && !seen.has(dataCentre);
      seen.add(dataCentre);
      const slots = isActing ? { [own.name]: slotsPerTarget + 1 } : {};
      const onEffect = (gateway: BenchGateway, effect: AdmissionEffect) =>
        this.execute(gateway, effect);
      this.gateways.set(vm, new BenchGateway(vm, slots, { onEffect }));
    }
  }

  private try(job: Job): void {
    const { needsPrimary, shape } = job.arrival;
    job.triesLeft -= 1;
    const router = this.nodes[job.node]?.router;
    const source = router?.createDestinationSource(group, { needsPrimary, level: shape.level });
    if (source === undefined) throw new Error("the entry node is unknown");
    const destinations = source.listDestinations();
    const refusal = source.findRefusal(destinations);
    if (refusal !== undefined) {
      this.counts.entryRefusals += 1;
      this.counts.refusedLevels.add(shape.level);
      this.checkRefusal(job, destinations);
      this.retry(job, refusal.retryAfterMs);
      return;
    }
    const [first] = destinations;
    if (first?.type !== "gateway") throw new Error("a gateway is expected");
    const gateway = this.gateways.get(first.gateway.vm);
    if (gateway === undefined) throw new Error("the gateway is unknown");
    job.gateway = gateway;
    this.agenda.add(this.agenda.now + hopMs, () => this.arrive(job, gateway));
  }

  /** Counts a refusal that one of the statement's gateways would not have made. */
  private checkRefusal(job: Job, destinations: ReturnType<DestinationSource["listDestinations"]>) {
    const request = this.createRequest(job.arrival);
    const admits = destinations.some(
      (d) =>
        d.type === "gateway" &&
        this.gateways.get(d.gateway.vm)?.wouldAdmit(request, this.agenda.now) === true,
    );
    if (admits) this.counts.wrongRefusals += 1;
  }

  private arrive(job: Job, gateway: BenchGateway): void {
    const id = `q${this.nextId++}`;
    this.jobs.set(id, job);
    job.sentAt = this.agenda.now;
    const request = { id, ...this.createRequest(job.arrival) };
    gateway.apply({ type: "arrive", at: this.agenda.now, request });
  }

  private createRequest({ at, shape, team, needsPrimary }: Arrival) {
    const { level, objectiveMs, deadlineMs, priority } = shape;
    return {
      team,
      plan: "paying" as const,
      priority,
      level,
      objectiveAt: at + objectiveMs - hopMs,
      candidates: needsPrimary ? [primaryTarget] : [...replicaTargets],
      deadlineAt: at + deadlineMs - hopMs,
      maxQueueMs: computeMaxQueueMs(shape),
    };
  }

  private execute(gateway: BenchGateway, effect: AdmissionEffect): void {
    const job = this.jobs.get(effect.id);
    if (job === undefined) throw new Error(`the request ${effect.id} is unknown`);
    switch (effect.type) {
      case "start":
        gateway.startCount += 1;
        gateway.waitedMs += this.agenda.now - job.sentAt;
        this.startAt(effect.target, () => this.serve(gateway, job, effect));
        return;
      case "refuse":
        this.jobs.delete(effect.id);
        this.counts.gatewayRefusals += 1;
        this.answer(gateway, job, true, () => this.retry(job, effect.retryAfterMs));
    }
  }

  /** Runs something once a target has a free slot. */
  private startAt(target: string, run: () => void): void {
    const running = this.running.get(target) ?? 0;
    if (running < slotsPerTarget) {
      this.running.set(target, running + 1);
      run();
    } else this.queues.set(target, [...(this.queues.get(target) ?? []), run]);
  }

  private serve(gateway: BenchGateway, job: Job, { id, target }: StartEffect): void {
    this.agenda.add(this.agenda.now + job.arrival.serviceMs, () => {
      this.jobs.delete(id);
      const next = this.queues.get(target)?.shift();
      if (next === undefined) this.running.set(target, (this.running.get(target) ?? 1) - 1);
      else next();
      gateway.apply({ type: "finish", at: this.agenda.now, id });
      this.answer(gateway, job, false, () => this.finish(job));
    });
  }

  /** Sends an answer to the entry node, with a report where one is due. */
  private answer(gateway: BenchGateway, job: Job, isRefusal: boolean, then: () => void): void {
    const role = job.arrival.needsPrimary ? "primary" : "replica";
    const { now } = this.agenda;
    const load = this.hasReports ? gateway.findReport(job.node, role, isRefusal, now) : undefined;
    this.agenda.add(now + hopMs, () => {
      if (load !== undefined) this.nodes[job.node]?.loads.record(gateway.vm, load);
      then();
    });
  }

  private finish({ arrival }: Job): void {
    const answeredAfterMs = this.agenda.now - arrival.at;
    const isInDeadline = answeredAfterMs <= arrival.shape.deadlineMs;
    this.outcomes.push({ arrival, answeredAfterMs: isInDeadline ? answeredAfterMs : undefined });
  }

  private retry(job: Job, retryAfterMs: number): void {
    const { arrival } = job;
    const next = this.agenda.now + retryAfterMs;
    if (job.triesLeft > 0 && next < arrival.at + arrival.shape.deadlineMs) {
      this.agenda.add(next, () => this.try(job));
    } else this.outcomes.push({ arrival, answeredAfterMs: undefined });
  }
}

type StartEffect = Extract<AdmissionEffect, { type: "start" }>;
