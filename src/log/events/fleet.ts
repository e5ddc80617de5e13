import type { LogEvent } from "../event.js";

/** Events of configuration and membership. */
export const fleetEvents = {
  configurationAdopted: {
    id: 5001,
    name: "configurationAdopted",
    level: "info",
    text: "The proxy adopted a configuration with a higher revision.",
  },
  configurationBehind: {
    id: 5002,
    name: "configurationBehind",
    level: "debug",
    text: "A peer has a configuration with a higher revision; the proxy fetches it.",
  },
  configurationInvalid: {
    id: 5003,
    name: "configurationFaulty",
    level: "error",
    text: "A configuration could not be parsed and was ignored.",
  },
  storeReverted: {
    id: 5004,
    name: "storeReverted",
    level: "error",
    text: "The store holds an older configuration than the one in force; the proxy did not adopt it.",
  },
  storeUnreachable: {
    id: 5005,
    name: "storeUnreachable",
    level: "warn",
    text: "The platform's store is unreachable; the proxy keeps the last known state.",
  },
  storeReachable: {
    id: 5006,
    name: "storeReachable",
    level: "info",
    text: "The platform's store is reachable again.",
  },
  watchStarted: {
    id: 5007,
    name: "watchStarted",
    level: "info",
    text: "This VM became a configuration relay and started to watch the store.",
  },
  watchStopped: {
    id: 5008,
    name: "watchStopped",
    level: "info",
    text: "This VM is no longer a configuration relay and stopped watching the store.",
  },
  watchFailed: {
    id: 5009,
    name: "watchBroken",
    level: "warn",
    text: "The watch on the configuration failed; the proxy reads the configuration again.",
  },
  configurationTakenFromPeer: {
    id: 5010,
    name: "configurationTakenFromPeer",
    level: "info",
    text: "The store did not answer at start; the proxy took the highest revision known to its peers.",
  },
  revisionConflict: {
    id: 5011,
    name: "revisionClash",
    level: "error",
    text: "Two different configurations have the same revision; the proxy keeps the one in force.",
  },
  vmJoined: {
    id: 5101,
    name: "vmJoined",
    level: "info",
    text: "A VM is alive.",
  },
  vmSuspected: {
    id: 5102,
    name: "vmSuspected",
    level: "info",
    text: "A VM answered neither direct nor indirect probes and is suspected to be down.",
  },
  vmDown: {
    id: 5103,
    name: "vmDown",
    level: "warn",
    text: "A VM is considered down; the groups that it owned move to other VMs.",
  },
  vmLeaving: {
    id: 5104,
    name: "vmLeaving",
    level: "info",
    text: "A VM is leaving and gets no new work.",
  },
  vmRemoved: {
    id: 5105,
    name: "vmRemoved",
    level: "info",
    text: "A VM that is down was removed from the platform's list.",
  },
  observerPaused: {
    id: 5106,
    name: "observerPaused",
    level: "warn",
    text: "This process was paused; its suspicions from before the pause are discarded.",
  },
  observerIsolated: {
    id: 5107,
    name: "observerIsolated",
    level: "error",
    text: "No peer answers this VM; it declares no VM down and keeps the last member list.",
  },
  suspicionRefuted: {
    id: 5108,
    name: "suspicionRefuted",
    level: "info",
    text: "A peer suspects this VM; this VM announces that it is alive.",
  },
} as const satisfies Record<string, LogEvent>;
