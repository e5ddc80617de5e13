import type { SessionContext } from "../direct/index.js";
import { assumedCrossingMs, type CrossingKind } from "../topology/index.js";
import type { GatewayAnswer, RequestStep } from "./codec.js";
import type { GatewayConnection, ForwardResult } from "./connection.js";
import type { GatewayConnections } from "./connections.js";
import type { EntryRefusal } from "./entry-loads.js";
import type { ReadOutcome } from "./gateway-share.js";
import type { Destination, DestinationSource } from "./router.js";

/**
 * A gateway itself refuses a statement that runs out of time. Its answer is waited for this much longer than
 * the time it was given, in milliseconds.
 */
const answerMarginMs = 150;
/** With less time no answer can arrive: it takes four network transfers and the shortest statement. */
export const minForwardMs = 10;
/** The reason given when a statement is too long to be forwarded. */
export const tooLargeReason = "the statement and its session's values are too long together";
/**
 * A statement that no gateway accepts is refused after this time, in which a gateway that has just been
 * listed reads the store three times.
 */
const maxWaitMs = 300;
/** The pause between two rounds over all destinations: half the time between two reads of the store. */
const roundPauseMs = 50;
/** Time kept for returning the answer: a later one reaches a caller that has already given up. */
const returnMarginMs = 5;

/**
 * The milliseconds that a gateway is given for a statement that must be answered by `deadlineAt`. One in another
 * region counts them from the arrival of the statement, and its answer takes the way back.
 */
export function countRemainingMs(
  { ports }: SessionContext,
  deadlineAt: number,
  gatewayDataCentre: string | undefined,
): number {
  const crossingMs = isRemote(ports, gatewayDataCentre) ? assumedCrossingMs : 0;
  return deadlineAt - ports.clock.now() - returnMarginMs - crossingMs;
}

/** Sends one step to a gateway, and records the result for the gateway's health and for the trace. */
export async function forwardStep(
  connections: GatewayConnections,
  connection: GatewayConnection,
  vm: string,
  context: SessionContext,
  step: RequestStep,
  leftMs: number,
  kind: CrossingKind,
): Promise<ForwardResult> {
  noteCrossing(context, connections.findDataCentre(vm), kind);
  const result = await connection.call(step, leftMs + answerMarginMs, context.disconnectSignal);
  switch (result.type) {
    case "answered":
      connections.recordAnswer(vm);
      context.trace.noteGateway(toHop(vm, result.answer));
      break;
    case "turnedAway":
      connections.recordFailure(vm, result.reason);
      context.trace.noteReason(`${vm}: ${result.reason}`);
      break;
    case "redirected":
      connections.recordAnswer(vm);
      context.trace.noteReason(`${vm}: redirected: ${result.reason}`);
      break;
    case "tooLarge":
      context.trace.noteReason(tooLargeReason);
      break;
    case "broken":
      context.trace.noteReason(`${vm}: ${result.reason}`);
      break;
  }
  return result;
}

/**
 * Sends a read that either gateway of a data centre could be sent, and records how it ended and in what time. Reads
 * that were sent to the primary's gateway wait for the primary, and say nothing of how fast it answers others.
 */
export async function sendMeasuredRead(
  connections: GatewayConnections,
  vm: string,
  group: string,
  givenMs: number,
  send: () => Promise<ForwardResult>,
): Promise<ForwardResult> {
  const sentAt = connections.now();
  const result = await send();
  const elapsedMs = connections.now() - sentAt;
  const outcome = findReadOutcome(result, elapsedMs >= givenMs);
  if (outcome !== undefined)
    connections.recordRead({ group, gateway: vm, outcome, elapsedMs, givenMs });
  return result;
}

/** How a read ended at a gateway; undefined when the gateway did not get or did not try it. */
function findReadOutcome(result: ForwardResult, isTimeOver: boolean): ReadOutcome | undefined {
  switch (result.type) {
    case "answered": {
      const { end } = result.answer.reply;
      return end.type === "complete" ? end : { type: "error", code: end.code };
    }
    case "broken":
      return result.isSent && isTimeOver ? { type: "silent" } : undefined;
    case "redirected":
      return { type: "redirected" };
    case "turnedAway":
    case "tooLarge":
      return undefined;
  }
}

/** Counts a step that is sent to a gateway of another region. */
function noteCrossing(
  { ports }: SessionContext,
  gatewayDataCentre: string | undefined,
  kind: CrossingKind,
): void {
  if (isRemote(ports, gatewayDataCentre)) ports.onCrossing(kind);
}

function isRemote(
  { topology, dataCentre }: SessionContext["ports"],
  gatewayDataCentre: string | undefined,
): boolean {
  return topology.measureDistance(dataCentre, gatewayDataCentre ?? "") === "remote";
}

function toHop(gateway: string, { target, role, tries }: GatewayAnswer) {
  return { gateway, target, role, tries };
}

/** The end of trying a statement's destinations. Except for `accepted`, nothing has run. */
export type TryResult<T> =
  | { readonly type: "accepted"; readonly value: T }
  | { readonly type: "notAccepted" }
  /** It was not sent, as all destinations would have refused it. */
  | { readonly type: "refused"; readonly refusal: EntryRefusal };

/**
 * Tries a statement's destinations one after the other, and again after a pause while that is likely to help.
 * A gateway that has just been listed may use no primary until it
 * next reads the store, 0.1 s later; if its predecessor leaves meanwhile, every caller would be refused
 * without the further rounds. `onNoneAccepted` is called after each round so that the node looks for other
 * gateways: right after its start it may know a single one, which is shutting down.
 */
export async function tryDestinations<T>(
  { ports: { clock }, disconnectSignal: gone }: SessionContext,
  { listDestinations, findRefusal, onNoneAccepted }: DestinationSource,
  deadlineAt: number,
  tryDestination: (destination: Destination) => Promise<T | undefined>,
): Promise<TryResult<T>> {
  const giveUpAt = Math.min(deadlineAt, clock.now() + maxWaitMs);
  let destinations = listDestinations();
  const refusal = findRefusal(destinations);
  if (refusal !== undefined) return { type: "refused", refusal };
  for (;;) {
    for (const destination of destinations) {
      const found = await tryDestination(destination);
      if (found !== undefined) return { type: "accepted", value: found };
    }
    onNoneAccepted();
    if (destinations.length === 0 || gone.aborted || clock.now() + roundPauseMs >= giveUpAt)
      return { type: "notAccepted" };
    await clock.sleep(roundPauseMs);
    destinations = listDestinations();
  }
}
