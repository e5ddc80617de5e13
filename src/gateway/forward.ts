import type { SessionContext } from "../direct/index.js";
import type { GatewayAnswer, RequestStep } from "./codec.js";
import type { GatewayConnection, ForwardResult } from "./connection.js";
import type { GatewayConnections } from "./connections.js";
import type { Destination, DestinationSource } from "./router.js";

/** A gateway refuses by itself what runs out of its time; its word is waited for so long, in milliseconds. */
const answerMarginMs = 150;
/** Below this no answer can come: four network passes and the shortest work, in milliseconds. */
export const minForwardMs = 10;
/** Why a statement that is too long to be forwarded is refused. */
export const tooLargeReason = "the statement and its session's values are too long together";
/** A statement that no gateway takes is refused after this, in milliseconds: three looks of a newcomer. */
const longestWaitMs = 300;
/** Between two rounds of all ways, in milliseconds: half a newcomer's pause between two looks. */
const roundPauseMs = 50;
/** Kept for the way back: what comes later reaches a caller that has given up. */
const wayBackMs = 5;

/** How much time a gateway is given for what has to be answered by `deadlineAt`. */
export function countRemainingMs({ ports }: SessionContext, deadlineAt: number): number {
  return deadlineAt - ports.clock.now() - wayBackMs;
}

/** Sends one step to a gateway and takes in what that tells of it. */
export async function forwardStep(
  links: GatewayConnections,
  link: GatewayConnection,
  vm: string,
  context: SessionContext,
  step: RequestStep,
  leftMs: number,
): Promise<ForwardResult> {
  const result = await link.call(step, leftMs + answerMarginMs, context.gone);
  switch (result.type) {
    case "answered":
      links.recordAnswer(vm);
      context.trace.noteHop(toHop(vm, result.answer));
      break;
    case "turnedAway":
      links.recordFailure(vm, result.reason);
      context.trace.noteReason(`${vm}: ${result.reason}`);
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

function toHop(gateway: string, { target, role, tries }: GatewayAnswer) {
  return { gateway, target, role, tries };
}

/**
 * Tries the ways of a statement one after the other, and once more after a pause while that is likely to
 * help; nothing where none took it. Whoever knows of others is asked meanwhile: right after a start a node may
 * know of a single gateway, which leaves. A gateway that has just been listed may use no primary until its next
 * look at the store, 0.1 s later; where the one before it leaves meanwhile, every caller was refused.
 */
export async function tryDestinations<T>(
  { ports: { clock }, gone }: SessionContext,
  { listDestinations: listWays, onNoneAccepted: onNobody }: DestinationSource,
  deadlineAt: number,
  tryWay: (way: Destination) => Promise<T | undefined>,
): Promise<T | undefined> {
  const until = Math.min(deadlineAt, clock.now() + longestWaitMs);
  for (;;) {
    const ways = listWays();
    for (const way of ways) {
      const found = await tryWay(way);
      if (found !== undefined) return found;
    }
    onNobody();
    if (ways.length === 0 || gone.aborted || clock.now() + roundPauseMs >= until) return undefined;
    await clock.sleep(roundPauseMs);
  }
}
