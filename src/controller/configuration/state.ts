import {
  emptyConfiguration,
  succeed,
  type StepResult,
  type Configuration,
} from "../../model/index.js";
import type { ConfigurationUpdate } from "./decode.js";
import { applyDelta, buildDelta } from "./delta.js";

/** Where a configuration came from. */
export type ConfigurationSource = "store" | "peer";

/** The immutable configuration state of one proxy. */
export interface ConfigurationState {
  readonly inForce: Configuration;
  /** Whether the store or a peer has answered, even if there was no configuration. */
  readonly isKnown: boolean;
  /** The peer that a configuration is being fetched from; absent when no fetch is in progress. */
  readonly fetchingFrom?: string;
}

/** An input of the configuration state machine. */
export type ConfigurationEvent =
  /** The store or a peer provided an update. */
  | {
      readonly type: "offered";
      readonly update: ConfigurationUpdate;
      readonly source: ConfigurationSource;
      /** The peer that sent it; absent when the store did. */
      readonly vm?: string;
    }
  /** The store answered that it holds no configuration. */
  | { readonly type: "absent" }
  /** A peer's message contained the revision that the peer has in force. */
  | { readonly type: "heard"; readonly vm: string; readonly revision: number }
  /** A fetch ended, with or without a result. */
  | { readonly type: "fetchEnded" };

/** A condition that an operator must resolve. Nothing is adopted. */
export type ConfigurationAlarm =
  /** The store holds an older revision than the proxy has in force. */
  | { readonly type: "storeReverted"; readonly stored: number; readonly inForce: number }
  /** Two different configurations have the same revision. */
  | { readonly type: "revisionClash"; readonly revision: number };

/** An action that the caller carries out after a step. */
export type ConfigurationEffect =
  | { readonly type: "adopt"; readonly before: Configuration; readonly after: Configuration }
  | { readonly type: "relay"; readonly update: ConfigurationUpdate; readonly except?: string }
  | { readonly type: "fetch"; readonly vm: string; readonly afterRevision: number }
  | { readonly type: "alarm"; readonly alarm: ConfigurationAlarm };

type Step = StepResult<ConfigurationState, ConfigurationEffect, never>;

/** The state of a proxy at the start. */
export const initialConfigurationState: ConfigurationState = {
  inForce: emptyConfiguration,
  isKnown: false,
};

/** Applies one event. Only a greater revision replaces the one in force. */
export function applyConfigurationEvent(
  state: ConfigurationState,
  event: ConfigurationEvent,
): Step {
  switch (event.type) {
    case "offered":
      return applyOffer(state, event);
    case "absent":
      return applyAbsentStore(state);
    case "heard":
      return applyPeerRevision(state, event.vm, event.revision);
    case "fetchEnded":
      return succeed({ inForce: state.inForce, isKnown: state.isKnown });
  }
}

function applyOffer(
  state: ConfigurationState,
  { update, source, vm }: Extract<ConfigurationEvent, { type: "offered" }>,
): Step {
  const revision = update.type === "whole" ? update.configuration.revision : update.delta.revision;
  if (revision <= state.inForce.revision) return rejectOffer(state, update, source, revision);
  const after = resolveUpdate(state.inForce, update);
  // The delta has another base, so the whole configuration is fetched from the peer that sent it.
  if (after === undefined)
    return vm === undefined ? succeed(state) : applyPeerRevision(state, vm, revision);
  return adopt(state, after, vm);
}

function adopt(state: ConfigurationState, after: Configuration, from?: string): Step {
  const before = state.inForce;
  const next = { ...state, inForce: after, isKnown: true };
  const adoptEffect: ConfigurationEffect = { type: "adopt", before, after };
  // The first configuration after the start is not relayed: the other proxies already have it.
  if (!state.isKnown) return succeed(next, [adoptEffect]);
  const update: ConfigurationUpdate =
    before.revision === 0
      ? { type: "whole", configuration: after }
      : { type: "delta", delta: buildDelta(before, after) };
  const except = from === undefined ? {} : { except: from };
  return succeed(next, [adoptEffect, { type: "relay", update, ...except }]);
}

function rejectOffer(
  state: ConfigurationState,
  update: ConfigurationUpdate,
  source: ConfigurationSource,
  revision: number,
): Step {
  const known: ConfigurationState = { ...state, isKnown: true };
  const active = state.inForce;
  const changeId = update.type === "whole" ? update.configuration.changeId : update.delta.changeId;
  if (revision === active.revision && changeId !== active.changeId) {
    return succeed(known, [{ type: "alarm", alarm: { type: "revisionClash", revision } }]);
  }
  if (source === "store" && revision < active.revision) return raiseStoreReverted(known, revision);
  return succeed(known);
}

function applyAbsentStore(state: ConfigurationState): Step {
  const known: ConfigurationState = { ...state, isKnown: true };
  return state.inForce.revision > 0 ? raiseStoreReverted(known, 0) : succeed(known);
}

/**
 * Raises an alarm for a store that holds an older revision, such as one restored from an old copy.
 * Adopting it would revert rules that operators saw accepted. Revisions only increase, so the proxy
 * keeps its configuration. The operators' next `apply` writes a revision above the fleet's.
 */
function raiseStoreReverted(state: ConfigurationState, stored: number): Step {
  const inForce = state.inForce.revision;
  return succeed(state, [{ type: "alarm", alarm: { type: "storeReverted", stored, inForce } }]);
}

function applyPeerRevision(state: ConfigurationState, vm: string, revision: number): Step {
  if (revision <= state.inForce.revision || state.fetchingFrom !== undefined) return succeed(state);
  return succeed({ ...state, fetchingFrom: vm }, [
    { type: "fetch", vm, afterRevision: state.inForce.revision },
  ]);
}

function resolveUpdate(
  inForce: Configuration,
  update: ConfigurationUpdate,
): Configuration | undefined {
  if (update.type === "whole") return update.configuration;
  const applied = applyDelta(inForce, update.delta);
  return applied.type === "applied" ? applied.state : undefined;
}
