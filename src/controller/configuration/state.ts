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

/** What one proxy has in force. */
export interface ConfigurationState {
  readonly inForce: Configuration;
  /** Whether the store or a peer has said what is in force, be it nothing yet. */
  readonly isKnown: boolean;
  /** The peer that a configuration is being fetched from. */
  readonly fetchingFrom?: string;
}

/** What happens to a proxy's configuration. */
export type ConfigurationEvent =
  | {
      readonly type: "offered";
      readonly update: ConfigurationUpdate;
      readonly source: ConfigurationSource;
      /** The peer that sent it. */
      readonly vm?: string;
    }
  /** The store answered that there is none. */
  | { readonly type: "absent" }
  /** A peer's message carried the revision that it has in force. */
  | { readonly type: "heard"; readonly vm: string; readonly revision: number }
  | { readonly type: "fetchEnded" };

/** Why an alarm is raised: nothing is adopted, and an operator has to look. */
export type ConfigurationAlarm =
  | { readonly type: "storeReverted"; readonly stored: number; readonly inForce: number }
  /** Two different configurations under one revision. */
  | { readonly type: "revisionClash"; readonly revision: number };

/** What is to be done outside after a step. */
export type ConfigurationEffect =
  | { readonly type: "adopt"; readonly before: Configuration; readonly after: Configuration }
  | { readonly type: "relay"; readonly update: ConfigurationUpdate; readonly except?: string }
  | { readonly type: "fetch"; readonly vm: string; readonly afterRevision: number }
  | { readonly type: "alarm"; readonly alarm: ConfigurationAlarm };

type Step = StepResult<ConfigurationState, ConfigurationEffect, never>;

/** What a proxy starts with. */
export const firstConfigurationState: ConfigurationState = {
  inForce: emptyConfiguration,
  isKnown: false,
};

/** Applies one event. Only a greater revision ever replaces the one in force. */
export function applyConfigurationEvent(
  state: ConfigurationState,
  event: ConfigurationEvent,
): Step {
  switch (event.type) {
    case "offered":
      return applyOffer(state, event);
    case "absent":
      return applyAbsence(state);
    case "heard":
      return applyHearing(state, event.vm, event.revision);
    case "fetchEnded":
      return succeed({ inForce: state.inForce, isKnown: state.isKnown });
  }
}

function applyOffer(
  state: ConfigurationState,
  { update, source, vm }: Extract<ConfigurationEvent, { type: "offered" }>,
): Step {
  const revision = update.type === "whole" ? update.configuration.revision : update.delta.revision;
  if (revision <= state.inForce.revision) return leaveOffer(state, update, source, revision);
  const after = resolveUpdate(state.inForce, update);
  // A delta of another base: the peer that sent it has the whole.
  if (after === undefined)
    return vm === undefined ? succeed(state) : applyHearing(state, vm, revision);
  return adopt(state, after, vm);
}

function adopt(state: ConfigurationState, after: Configuration, from?: string): Step {
  const before = state.inForce;
  const next = { ...state, inForce: after, isKnown: true };
  const adoption: ConfigurationEffect = { type: "adopt", before, after };
  // A proxy that has just started learns what the others have long had: nobody needs it from there.
  if (!state.isKnown) return succeed(next, [adoption]);
  const update: ConfigurationUpdate =
    before.revision === 0
      ? { type: "whole", configuration: after }
      : { type: "delta", delta: buildDelta(before, after) };
  const except = from === undefined ? {} : { except: from };
  return succeed(next, [adoption, { type: "relay", update, ...except }]);
}

function leaveOffer(
  state: ConfigurationState,
  update: ConfigurationUpdate,
  source: ConfigurationSource,
  revision: number,
): Step {
  const known: ConfigurationState = { ...state, isKnown: true };
  const held = state.inForce;
  const changeId = update.type === "whole" ? update.configuration.changeId : update.delta.changeId;
  if (revision === held.revision && changeId !== held.changeId) {
    return succeed(known, [{ type: "alarm", alarm: { type: "revisionClash", revision } }]);
  }
  if (source === "store" && revision < held.revision) return alarmReverted(known, revision);
  return succeed(known);
}

function applyAbsence(state: ConfigurationState): Step {
  const known: ConfigurationState = { ...state, isKnown: true };
  return state.inForce.revision > 0 ? alarmReverted(known, 0) : succeed(known);
}

/**
 * A store restored from an old copy would take rules back that operators saw accepted. Revisions
 * only grow, so the proxy keeps what it has and tells the operators, whose next `apply` writes a
 * revision above the fleet's.
 */
function alarmReverted(state: ConfigurationState, stored: number): Step {
  const inForce = state.inForce.revision;
  return succeed(state, [{ type: "alarm", alarm: { type: "storeReverted", stored, inForce } }]);
}

function applyHearing(state: ConfigurationState, vm: string, revision: number): Step {
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
