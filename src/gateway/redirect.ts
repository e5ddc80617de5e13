import { RedirectOffer, minRedirectMs, type SessionContext } from "../direct/index.js";
import { findEffect, type Work } from "../statement/index.js";
import { countRemainingMs, tryDestinations } from "./forward.js";
import { PrimaryNeeds } from "./primary-need.js";
import type { Destination, GatewayRouter } from "./router.js";

/** The result of trying a read at one destination. */
export type ReadEnd<T> =
  /** `isComplete` when a target answered it without an error. */
  | { readonly type: "ended"; readonly value: T; readonly isComplete: boolean }
  /** Nothing has run: the read needs the primary, whose gateway is another process. */
  | { readonly type: "redirected" };

/** The result of sending a read. Except for `ended`, nothing has run. */
export type SendResult<T> =
  | { readonly type: "ended"; readonly value: T }
  | { readonly type: "notAccepted" }
  /** It was redirected with too little time left to be sent again. */
  | { readonly type: "outOfTime" };

/** Tries a read at one destination; undefined means that another destination may be tried. */
export type TryRead<T> = (
  destination: Destination,
  acceptsRedirect: boolean,
) => Promise<ReadEnd<T> | undefined>;

/**
 * Sends reads to the near gateway and, when that redirects them, to the primary's gateways. Remembers for a
 * short while which reads need the primary. Each read is redirected at most once.
 */
export class RedirectingSender {
  private readonly needs = new PrimaryNeeds();

  constructor(private readonly router: GatewayRouter) {}

  /** Whether the work is a read that may be redirected if it is by itself or the first of its transaction. */
  isRedirectable({ ports, database }: SessionContext, work: Work): boolean {
    const { route } = database.action;
    return ports.isSlotPlanned() && findEffect(work) === "read" && route.type !== "primary";
  }

  /** Sends a redirectable read that must be answered by `deadlineAt`. */
  async send<T>(
    context: SessionContext,
    deadlineAt: number,
    tryRead: TryRead<T>,
  ): Promise<SendResult<T>> {
    const { group, lastCommit } = context;
    if (isPrimaryRequired(context)) return this.sendOnce(context, true, deadlineAt, tryRead);
    if (!this.router.canRedirect(group.name))
      return this.sendOnce(context, false, deadlineAt, tryRead);
    const key = findKey(context);
    const { clock } = context.ports;
    const way = this.needs.choose(key, lastCommit, clock.now());
    if (way === "primary") return this.sendOnce(context, true, deadlineAt, tryRead);
    let isFresh = false;
    try {
      const source = this.router.createDestinationSource(group.name, false);
      const end = await tryDestinations(context, source, deadlineAt, (destination) =>
        tryRead(destination, true),
      );
      if (end === undefined) return { type: "notAccepted" };
      if (end.type === "ended") {
        isFresh = end.isComplete && context.trace.role === "replica";
        return end;
      }
      this.needs.recordRedirect(key, lastCommit, clock.now());
    } finally {
      if (way === "probe") this.needs.endProbe(key, isFresh);
    }
    if (!this.hasTimeForPrimary(context, deadlineAt)) return { type: "outOfTime" };
    return this.sendOnce(context, true, deadlineAt, tryRead);
  }

  /** Offers a read to this process as its near gateway, which may leave it to the primary's gateway. */
  offerRedirect(context: SessionContext): SessionContext & { readonly redirect: RedirectOffer } {
    const redirect = new RedirectOffer(() => this.router.canRedirect(context.group.name));
    return { ...context, redirect };
  }

  /** Whether a read that needs the primary can still be answered by one of its destinations. */
  private hasTimeForPrimary(context: SessionContext, deadlineAt: number): boolean {
    const destinations = this.router.listDestinations(context.group.name, true);
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
    needsPrimary: boolean,
    deadlineAt: number,
    tryRead: TryRead<T>,
  ): Promise<SendResult<T>> {
    const source = this.router.createDestinationSource(context.group.name, needsPrimary);
    const end = await tryDestinations(context, source, deadlineAt, (destination) =>
      tryRead(destination, false),
    );
    return end?.type === "ended" ? end : { type: "notAccepted" };
  }
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
