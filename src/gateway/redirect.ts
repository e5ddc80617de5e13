import { RedirectOffer, minRedirectMs, type SessionContext } from "../direct/index.js";
import type { EntryRefusal } from "./entry-loads.js";
import { findEffect, type Work } from "../statement/index.js";
import { countRemainingMs, tryDestinations } from "./forward.js";
import { PrimaryNeeds } from "./primary-need.js";
import type { Destination, DestinationSource, GatewayRouter } from "./router.js";

/** The result of trying a read at one destination. */
export type ReadEnd<T> =
  /** `isComplete` when a target answered it without an error. */
  | { readonly type: "ended"; readonly value: T; readonly isComplete: boolean }
  /** Nothing has run: the read needs the primary's gateway, or one outside the region of `dataCentre`. */
  | {
      readonly type: "redirected";
      readonly leavesRegion: boolean;
      readonly dataCentre: string | undefined;
    };

type Redirected = Extract<ReadEnd<unknown>, { type: "redirected" }>;

/** The result of sending a read. Except for `ended`, nothing has run. */
export type SendResult<T> =
  | { readonly type: "ended"; readonly value: T }
  | { readonly type: "notAccepted" }
  /** It was not sent, as all destinations would have refused it. */
  | { readonly type: "refused"; readonly refusal: EntryRefusal }
  /** It was redirected with too little time left to be sent again. */
  | { readonly type: "outOfTime" };

/** How a read is sent to a destination. */
export interface ReadTerms {
  readonly acceptsRedirect: boolean;
  /** Whether it was sent to the near gateways as one of the reads that are divided between them. */
  readonly isNear: boolean;
}

/** Tries a read at one destination; undefined means that another destination may be tried. */
export type TryRead<T> = (
  destination: Destination,
  terms: ReadTerms,
) => Promise<ReadEnd<T> | undefined>;

/** The order in which gateways are tried. */
interface SendOrder {
  readonly needsPrimary: boolean;
  /** The data centre whose region the read leaves. */
  readonly leftDataCentre: string | undefined;
  /** Whether the second gateway of the data centre may come first. */
  readonly isDivided: boolean;
}

const toPrimary: SendOrder = { needsPrimary: true, leftDataCentre: undefined, isDivided: false };

/**
 * Sends reads to the near gateway and, when that redirects them, to the primary's gateways or to another region.
 * Remembers for a short while which reads were redirected. Each read is redirected at most once.
 */
export class RedirectingSender {
  private readonly needs = new PrimaryNeeds();
  /** The groups whose reads leave the region; `primary` stands for another region there. */
  private readonly leftRegions = new PrimaryNeeds();
  /** By group, the data centre of the gateway that last redirected reads to another region. */
  private readonly leftDataCentres = new Map<string, string>();

  constructor(private readonly router: GatewayRouter) {}

  /** Whether the work is a read that may be redirected if it is by itself or the first of its transaction. */
  isRedirectable({ ports, database }: SessionContext, work: Work): boolean {
    const { route } = database.action;
    return ports.isSlotPlanned() && findEffect(work) === "read" && route.type !== "primary";
  }

  /**
   * Sends a redirectable read that must be answered by `deadlineAt`. The first one of a transaction is not divided
   * between gateways: the second gateway may have a single connection, which the transaction would hold.
   */
  async send<T>(
    context: SessionContext,
    deadlineAt: number,
    tryRead: TryRead<T>,
    isDivided: boolean,
  ): Promise<SendResult<T>> {
    const { group, lastCommit } = context;
    const toNear = { needsPrimary: false, leftDataCentre: undefined, isDivided };
    if (isPrimaryRequired(context)) return this.sendOnce(context, toPrimary, deadlineAt, tryRead);
    const { hasPrimaryGateway, hasRemoteGateway } = this.router.findRedirectDestinations(
      group.name,
    );
    const canReachPrimary = hasPrimaryGateway();
    const canLeaveRegion = hasRemoteGateway();
    if (!canReachPrimary && !canLeaveRegion)
      return this.sendOnce(context, toNear, deadlineAt, tryRead);
    const key = findKey(context);
    const now = context.ports.clock.now();
    const way = canReachPrimary ? this.needs.choose(key, lastCommit, now) : "near";
    if (way === "primary") return this.sendOnce(context, toPrimary, deadlineAt, tryRead);
    const left = canLeaveRegion ? this.leftRegions.choose(group.name, undefined, now) : "near";
    if (left === "primary" && way !== "probe")
      return this.sendOnce(context, this.leaveRegion(group.name), deadlineAt, tryRead);
    let answeredBy: "replica" | "any" | undefined;
    let order: SendOrder;
    const tried = { isMoved: false };
    try {
      const source = this.createSource(context, toNear);
      const sent = await tryDestinations(context, source, deadlineAt, (destination) => {
        tried.isMoved = destination.type === "gateway" && destination.isMoved === true;
        return tryRead(destination, { acceptsRedirect: true, isNear: isDivided });
      });
      if (sent.type !== "accepted") return sent;
      const end = sent.value;
      if (end.type === "ended") {
        if (end.isComplete) answeredBy = context.trace.role === "replica" ? "replica" : "any";
        return end;
      }
      order = tried.isMoved ? orderAfter(end) : this.recordRedirect(context, key, end);
    } finally {
      if (way === "probe") this.needs.endProbe(key, answeredBy === "replica");
      if (left === "probe") this.leftRegions.endProbe(group.name, answeredBy !== undefined);
    }
    if (!this.hasTimeFor(context, order, deadlineAt)) return { type: "outOfTime" };
    return this.sendOnce(context, order, deadlineAt, tryRead);
  }

  /** Offers a read to this process as its near gateway, which may leave it to another one. */
  offerRedirect(context: SessionContext): SessionContext & { readonly redirect: RedirectOffer } {
    const destinations = this.router.findRedirectDestinations(context.group.name);
    return { ...context, redirect: new RedirectOffer(destinations) };
  }

  /** Records a redirect by the preferred gateway, and returns where the read goes. */
  private recordRedirect(
    { group, lastCommit, ports }: SessionContext,
    key: string,
    redirect: Redirected,
  ): SendOrder {
    const now = ports.clock.now();
    if (!redirect.leavesRegion) {
      this.needs.recordRedirect(key, lastCommit, now);
    } else {
      this.leftRegions.recordRedirect(group.name, undefined, now);
      this.leftDataCentres.set(group.name, redirect.dataCentre ?? "");
    }
    return orderAfter(redirect);
  }

  private leaveRegion(group: string): SendOrder {
    const leftDataCentre = this.leftDataCentres.get(group);
    return { needsPrimary: false, leftDataCentre, isDivided: false };
  }

  /** Whether a redirected read can still be answered by one of its destinations. */
  private hasTimeFor(
    context: SessionContext,
    { needsPrimary, leftDataCentre }: SendOrder,
    deadlineAt: number,
  ): boolean {
    const { name } = context.group;
    const destinations = this.router.listDestinations(name, needsPrimary, leftDataCentre);
    const times = destinations.map((destination) =>
      destination.type === "local"
        ? deadlineAt - context.ports.clock.now()
        : countRemainingMs(context, deadlineAt, destination.gateway.dataCentre),
    );
    return times.length === 0 || Math.max(...times) >= minRedirectMs;
  }

  /** Sends a read that no destination may redirect. */
  private async sendOnce<T>(
    context: SessionContext,
    order: SendOrder,
    deadlineAt: number,
    tryRead: TryRead<T>,
  ): Promise<SendResult<T>> {
    const terms = { acceptsRedirect: false, isNear: order.isDivided };
    const source = this.createSource(context, order);
    const sent = await tryDestinations(context, source, deadlineAt, (destination) =>
      tryRead(destination, terms),
    );
    if (sent.type !== "accepted") return sent;
    return sent.value.type === "ended" ? sent.value : { type: "notAccepted" };
  }

  private createSource({ group, database }: SessionContext, order: SendOrder): DestinationSource {
    const { level } = database.action;
    return this.router.createDestinationSource(group.name, { ...order, level });
  }
}

/**
 * Where a redirected read goes. A redirect by a gateway that got the read because reads are divided is followed but
 * not recorded: that gateway reads few log positions, so that the preferred one may well have a fresh replica.
 */
function orderAfter({ leavesRegion, dataCentre }: Redirected): SendOrder {
  if (!leavesRegion) return toPrimary;
  return { needsPrimary: false, leftDataCentre: dataCentre ?? "", isDivided: false };
}

/** Whether each gateway would find that the read needs the primary: nothing says how fresh a replica must be. */
function isPrimaryRequired({ database, lastCommit }: SessionContext): boolean {
  const { route } = database.action;
  return route.type === "replica" && route.maxAgeMs === undefined && lastCommit === undefined;
}

/** Reads of one group and staleness bound need the primary together. */
function findKey({ group, database }: SessionContext): string {
  const { route } = database.action;
  const bound = route.type === "primary" ? undefined : route.maxAgeMs;
  return `${group.name} ${route.type} ${bound ?? ""}`;
}

/** How this process redirected a read that was offered to it; undefined where it ran the read. */
export function findLocalRedirect({
  redirect,
  ports,
}: SessionContext): Extract<ReadEnd<never>, { type: "redirected" }> | undefined {
  const cause = redirect?.cause;
  if (cause === undefined) return undefined;
  const { leavesRegion } = cause;
  return { type: "redirected", leavesRegion, dataCentre: ports.dataCentre };
}
