import type { LogEvent } from "../event.js";

/** Events of a node that serves directly. */
export const nodeEvents = {
  configurationInForce: {
    id: 5200,
    name: "routesInForce",
    level: "info",
    text: "A newer configuration of databases and groups is in force here.",
  },
  teamsRefused: {
    id: 5216,
    name: "teamsRefused",
    level: "warn",
    text: "Teams of a configuration were left out, or keys that two of them hold; the fields are named.",
  },
  configurationUnreadable: {
    id: 5208,
    name: "configurationUnread",
    level: "warn",
    text: "The configuration could not be read or makes no sense; the last good one stays in force.",
  },
  proxiesListed: {
    id: 5209,
    name: "proxiesListed",
    level: "info",
    text: "The proxies that are registered were read.",
  },
  registered: {
    id: 5201,
    name: "proxyRegistered",
    level: "info",
    text: "This proxy has put itself into the platform's store for the others to find.",
  },
  deregistered: {
    id: 5210,
    name: "proxyDeregistered",
    level: "info",
    text: "This proxy leaves and has taken itself out of the platform's store, if that was done.",
  },
  missedProxyRemoved: {
    id: 5211,
    name: "missedProxyRemoved",
    level: "info",
    text: "The entry of a proxy that did not answer a change of primary, nor say since that it lives.",
  },
  listedProxyUnresponsive: {
    id: 5215,
    name: "listedProxySilent",
    level: "info",
    text: "A listed proxy has asked nothing for a while and does not answer; it is marked as missed.",
  },
  servingConfigFetched: {
    id: 5202,
    name: "sceneFetched",
    level: "info",
    text: "A peer's configuration and targets are used until the store has been asked.",
  },
  targetsChanged: {
    id: 5203,
    name: "targetsChanged",
    level: "info",
    text: "The targets of a group, their state or their announced roles have changed.",
  },
  targetEntryInvalid: {
    id: 5212,
    name: "targetEntryRefused",
    level: "info",
    text: "An entry among the targets is not as targets write it, by the field named; it is passed over.",
  },
  targetRecordWritten: {
    id: 5213,
    name: "targetRecordWritten",
    level: "info",
    text: "What is known of a group's targets was written down for processes that start later.",
  },
  recordedTargetsUsed: {
    id: 5214,
    name: "targetsRecalled",
    level: "info",
    text: "Targets whose entries are missing are used as they were last written down, for a while.",
  },
  settingsReloaded: {
    id: 5204,
    name: "settingsReadAgain",
    level: "info",
    text: "The settings file was read again; what can change without a restart is in force.",
  },
  settingsInvalid: {
    id: 5205,
    name: "settingsKept",
    level: "error",
    text: "The changed settings have faults; the ones before stay in force.",
  },
  targetUnanswered: {
    id: 5207,
    name: "targetUnanswered",
    level: "info",
    text: "A target did not answer a question about itself.",
  },
  readinessChanged: {
    id: 5206,
    name: "readinessChanged",
    level: "info",
    text: "The answer to the balancer has changed.",
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
