import type { Clock, Json, PeerClient, Random, Vm } from "../model/index.js";
import { sleepUnlessAborted, addJitter } from "./loop.js";

const pushRetryMs = 300;

/**
 * Pushes a configuration message to a peer, with one retry, and returns the revision then in force
 * there; undefined if both failed. No further retry is needed: the peer also gets the update
 * through another relay's tree, or fetches it once a message shows it the greater revision.
 */
export async function pushMessage(
  ports: { readonly peers: PeerClient; readonly clock: Clock; readonly random: Random },
  vm: Vm,
  message: Json,
  timeoutMs: number,
  signal: AbortSignal,
): Promise<number | undefined> {
  const { peers, clock, random } = ports;
  const first = await peers.pushConfiguration(vm, message, timeoutMs);
  if (first.type === "found") return first.value;
  if (!(await sleepUnlessAborted(clock, addJitter(random, pushRetryMs), signal))) return undefined;
  const second = await peers.pushConfiguration(vm, message, timeoutMs);
  return second.type === "found" ? second.value : undefined;
}
