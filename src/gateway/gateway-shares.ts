import type { Proxy } from "../leadership/index.js";
import { gatewayEvents } from "../log/events/gateway.js";
import type { Logger } from "../log/index.js";
import type { Clock, Random } from "../model/index.js";
import {
  adjustPair,
  findMovedPart,
  isUsable,
  measureRead,
  recordResponse,
  type ReadOutcome,
  type ResponseEstimate,
  type SharePair,
} from "./gateway-share.js";

/** The environment of `GatewayShares`. */
export interface GatewaySharesPorts {
  /** This process, whose own statements are not measured. */
  readonly vm: string;
  readonly clock: Pick<Clock, "now">;
  readonly random: Random;
  readonly logger: Logger;
  /** Whether one gateway plans the slots of a target; elsewhere the order of gateways stays as it is. */
  readonly isSlotPlanned: () => boolean;
}

/** A read that was sent to a gateway. */
export interface SentRead {
  readonly group: string;
  readonly gateway: string;
  readonly outcome: ReadOutcome;
  readonly elapsedMs: number;
  /** The time that the gateway was given. */
  readonly givenMs: number;
}

/** The part of the reads of its groups that a preferred gateway is sent, from 0 to 1. */
export interface GatewayShareSample {
  readonly gateway: string;
  readonly share: number;
}

/** The gateways of one rank for a group's reads. */
interface Pairing {
  readonly preferred: string;
  readonly other: string;
  /** Whether the log says that the preferred gateway's share is reduced. */
  readonly isReduced: boolean;
  readonly pair: SharePair | undefined;
  /** When a read was last sent to the other gateway while nothing was known of it. */
  readonly askedAt: number;
  /** When the other gateway last redirected a read. */
  readonly redirectedAt: number;
}

/** What this node knows of a group's gateways. */
interface GroupShares {
  readonly times: Map<string, ResponseEstimate>;
  /** The pair that reads of the group were last sent to. */
  pairing: Pairing | undefined;
  /** When a read was last divided or measured. */
  usedAt: number;
}

/** A gateway's share counts as reduced, or as restored, when it leaves this part to the other one. */
const reducedPart = 0.2;
const restoredPart = 0.05;

/**
 * An unknown gateway gets one read in this time at most, in milliseconds. One without a recent log position may
 * redirect it, and the read then takes a second hop and a slot at the primary.
 */
const learningPauseMs = 1000;
/**
 * After a redirect by the other gateway no read is sent there for this long, in milliseconds. The preferred gateway
 * shows meanwhile whether the reads need the primary.
 */
const redirectPauseMs = 1000;

/**
 * A group without reads for this long is removed, in milliseconds. Its response times are too old to be compared by
 * then, and its gateways or the group itself may have left.
 */
const maxUnusedMs = 60_000;

/** Divides a node's reads between the two gateways of a data centre by the response times that it measures. */
export class GatewayShares {
  private readonly groups = new Map<string, GroupShares>();

  constructor(private readonly ports: GatewaySharesPorts) {}

  /** Puts the second gateway first for some reads, if the first two are in one data centre. */
  order(group: string, gateways: readonly Proxy[]): readonly Proxy[] {
    const [preferred, other, ...rest] = gateways;
    if (preferred === undefined || other === undefined || !this.ports.isSlotPlanned())
      return gateways;
    if (preferred.dataCentre !== other.dataCentre || this.isOwn(preferred, other)) return gateways;
    const isMoved = this.drawIsMoved(group, this.findPairing(group, preferred.vm, other.vm));
    return isMoved ? [other, preferred, ...rest] : gateways;
  }

  /** Records the end of a read at a gateway. */
  record({ group, gateway, outcome, elapsedMs, givenMs }: SentRead): void {
    if (!this.ports.isSlotPlanned()) return;
    const ms = measureRead(outcome, elapsedMs, givenMs);
    const shares = this.groups.get(group);
    const pairing = shares?.pairing;
    if (ms === undefined || shares === undefined || pairing === undefined) return;
    if (gateway !== pairing.preferred && gateway !== pairing.other) return;
    const isRedirected = outcome.type === "redirected";
    // The preferred gateway redirects what needs the primary, which says nothing of how fast it is.
    if (isRedirected && gateway === pairing.preferred) return;
    const { times } = shares;
    const now = this.ports.clock.now();
    shares.usedAt = now;
    const redirectedAt = isRedirected ? now : pairing.redirectedAt;
    times.set(gateway, recordResponse(times.get(gateway), ms, now));
    const [preferred, other] = [times.get(pairing.preferred), times.get(pairing.other)];
    const pair = adjustPair(pairing.pair, preferred, other, now);
    shares.pairing = this.report(group, { ...pairing, pair, redirectedAt });
  }

  /** The share of each preferred gateway: the least one of those in its groups. */
  list(): readonly GatewayShareSample[] {
    const shares = new Map<string, number>();
    if (!this.ports.isSlotPlanned()) return [];
    this.removeUnused();
    for (const { pairing } of this.groups.values()) {
      if (pairing === undefined) continue;
      const share = 1 - (pairing.pair?.movedPart ?? 0);
      shares.set(pairing.preferred, Math.min(share, shares.get(pairing.preferred) ?? 1));
    }
    return [...shares].map(([gateway, share]) => ({ gateway, share }));
  }

  private drawIsMoved(group: string, pairing: Pairing): boolean {
    const shares = this.findGroup(group);
    const { preferred, other, pair, askedAt, redirectedAt } = pairing;
    const now = this.ports.clock.now();
    if (now - redirectedAt < redirectPauseMs) return false;
    const otherTime = shares.times.get(other);
    const isKnown = isUsable(otherTime, now);
    if (!isKnown && now - askedAt < learningPauseMs) return false;
    const part = findMovedPart(pair, shares.times.get(preferred), otherTime, now);
    const isMoved = this.ports.random.draw() < part;
    if (isMoved && !isKnown) shares.pairing = { ...pairing, askedAt: now };
    return isMoved;
  }

  private isOwn(...gateways: readonly Proxy[]): boolean {
    return gateways.some(({ vm }) => vm === this.ports.vm);
  }

  private findGroup(group: string): GroupShares {
    const known = this.groups.get(group);
    const usedAt = this.ports.clock.now();
    if (known !== undefined) {
      known.usedAt = usedAt;
      return known;
    }
    this.removeUnused();
    const created: GroupShares = { times: new Map(), pairing: undefined, usedAt };
    this.groups.set(group, created);
    return created;
  }

  private removeUnused(): void {
    const oldest = this.ports.clock.now() - maxUnusedMs;
    for (const [group, { usedAt }] of this.groups) if (usedAt < oldest) this.groups.delete(group);
  }

  /** The state of a pair, which starts anew when the gateways of the group have changed. */
  private findPairing(group: string, preferred: string, other: string): Pairing {
    const shares = this.findGroup(group);
    const known = shares.pairing;
    if (known?.preferred === preferred && known.other === other) return known;
    for (const vm of shares.times.keys())
      if (vm !== preferred && vm !== other) shares.times.delete(vm);
    const created = {
      preferred,
      other,
      isReduced: false,
      pair: undefined,
      askedAt: -Infinity,
      redirectedAt: -Infinity,
    };
    shares.pairing = created;
    return created;
  }

  /** Logs when the preferred gateway's share becomes reduced or is restored. */
  private report(group: string, pairing: Pairing): Pairing {
    const { preferred: gateway, other, isReduced } = pairing;
    const movedPart = pairing.pair?.movedPart ?? 0;
    const nowReduced = movedPart >= (isReduced ? restoredPart : reducedPart);
    if (nowReduced === isReduced) return pairing;
    const event = nowReduced ? gatewayEvents.shareReduced : gatewayEvents.shareRestored;
    const times = this.groups.get(group)?.times;
    const round = (vm: string) => Math.round(times?.get(vm)?.meanMs ?? 0);
    const fields = { group, gateway, other, ms: round(gateway), otherMs: round(other) };
    this.ports.logger.write(event, fields);
    return { ...pairing, isReduced: nowReduced };
  }
}
