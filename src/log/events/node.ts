import type { LogEvent } from "../event.js";

/** Events of a node that serves directly. */
export const nodeEvents = {
  configurationInForce: {
    id: 5200,
    name: "routesInForce",
    level: "info",
    text: "The proxy adopted a newer configuration of databases and groups.",
  },
  teamsRefused: {
    id: 5216,
    name: "teamsRefused",
    level: "warn",
    text: "Teams of a configuration were ignored, or keys that two teams share; the fields are given.",
  },
  levelsInForce: {
    id: 5220,
    name: "levelsInForce",
    level: "info",
    text: "Statements are ordered by the levels of a newer configuration; the levels are given.",
  },
  levelsCeased: {
    id: 5221,
    name: "levelsCeased",
    level: "info",
    text: "A newer configuration has no levels; statements are ordered by the fixed classes.",
  },
  levelsInvalid: {
    id: 5222,
    name: "levelsInvalid",
    level: "warn",
    text: "Routes of a configuration have an invalid level or objective and keep their class; the values are given.",
  },
  configurationUnreadable: {
    id: 5208,
    name: "configurationUnread",
    level: "warn",
    text: "The configuration could not be read or is invalid; the last valid one stays in force.",
  },
  proxiesListed: {
    id: 5209,
    name: "proxiesListed",
    level: "info",
    text: "The proxy read the list of registered proxies.",
  },
  registered: {
    id: 5201,
    name: "proxyRegistered",
    level: "info",
    text: "This proxy registered itself in the platform's store so that other proxies find it.",
  },
  deregistered: {
    id: 5210,
    name: "proxyDeregistered",
    level: "info",
    text: "This proxy is leaving and deregistered itself from the platform's store; whether that succeeded is given.",
  },
  missedProxyRemoved: {
    id: 5211,
    name: "missedProxyRemoved",
    level: "info",
    text: "The proxy removes the entry of another proxy that did not answer a change of primary and has not reported since.",
  },
  listedProxyUnresponsive: {
    id: 5215,
    name: "listedProxySilent",
    level: "info",
    text: "A listed proxy has sent no requests for a while and does not answer; it is marked as missed.",
  },
  servingConfigFetched: {
    id: 5202,
    name: "sceneFetched",
    level: "info",
    text: "The proxy uses the configuration and targets of a peer until it has read the store.",
  },
  targetsChanged: {
    id: 5203,
    name: "targetsChanged",
    level: "info",
    text: "The targets of a group, their states or their announced roles changed.",
  },
  targetLeaving: {
    id: 5228,
    name: "targetLeaving",
    level: "info",
    text: "A target's entry says that it leaves; the time since it was last known to be ready is given.",
  },
  targetsUnreadable: {
    id: 5229,
    name: "targetsUnreadable",
    level: "warn",
    text: "The store answered, but not with the list of targets; the age of the known list is given.",
  },
  targetEntryInvalid: {
    id: 5212,
    name: "targetEntryRefused",
    level: "info",
    text: "A target's entry is invalid in the field given and was ignored.",
  },
  targetRecordWritten: {
    id: 5213,
    name: "targetRecordWritten",
    level: "info",
    text: "The proxy recorded a group's known targets in the store for processes that start later.",
  },
  recordedTargetsUsed: {
    id: 5214,
    name: "targetsRecalled",
    level: "info",
    text: "Targets whose entries are missing are used as last recorded, for a limited time.",
  },
  settingsReloaded: {
    id: 5204,
    name: "settingsReadAgain",
    level: "info",
    text: "The process read its settings file again and applied the settings that can change without a restart.",
  },
  settingsInvalid: {
    id: 5205,
    name: "settingsKept",
    level: "error",
    text: "The changed settings are invalid; the previous ones stay in force.",
  },
  dataCentreWithoutRegion: {
    id: 5223,
    name: "dataCentreWithoutRegion",
    level: "warn",
    text: "The settings name no region for a data centre, which is treated as a region of its own.",
  },
  capacityInvalid: {
    id: 5227,
    name: "capacityInvalid",
    level: "warn",
    text: "A power, link or number of descriptors in a proxy's entry or the settings is invalid and does not count.",
  },
  targetUnanswered: {
    id: 5207,
    name: "targetUnanswered",
    level: "info",
    text: "A target did not answer a status request.",
  },
  readinessChanged: {
    id: 5206,
    name: "readinessChanged",
    level: "info",
    text: "The answer to the balancer's readiness check changed.",
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
