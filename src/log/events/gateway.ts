import type { LogEvent } from "../event.js";

/** Events of statements that one node forwards to another. */
export const gatewayEvents = {
  avoided: {
    id: 2120,
    name: "gatewayPassedOver",
    level: "info",
    text: "A gateway was unreachable, timed out or refused a statement; other gateways are preferred for a while.",
  },
  statementRefused: {
    id: 2121,
    name: "forwardedStatementRefused",
    level: "info",
    text: "This node refused a statement that another node forwarded and did not run it; the reason is given.",
  },
  servedConnectionClosed: {
    id: 2122,
    name: "servedLinkClosed",
    level: "info",
    text: "A connection from another node ended; its open transactions are rolled back.",
  },
  servedStatementFailed: {
    id: 2123,
    name: "servedStatementBroken",
    level: "error",
    text: "An internal error ended a statement that another node had forwarded.",
  },
  noGateway: {
    id: 2124,
    name: "noGateway",
    level: "info",
    text: "A statement was refused because no gateway of its group accepted it; it did not run.",
  },
  redirected: {
    id: 2130,
    name: "statementRedirected",
    level: "info",
    text: "This node left a read that needs the primary to the primary's gateway; nothing of it ran here.",
  },
  positionsInvalid: {
    id: 2139,
    name: "positionsInvalid",
    level: "warn",
    text: "A gateway sent a log position that is no whole number; it is ignored, and further ones are not reported.",
  },
  refusedByLoad: {
    id: 2140,
    name: "refusedByLoad",
    level: "info",
    text: "A statement was refused without being sent, as all its gateways report that they refuse its level; it did not run.",
  },
  levelClosed: {
    id: 2141,
    name: "levelClosed",
    level: "info",
    text: "All gateways of a group report that they refuse a level; most of its statements are refused at this node.",
  },
  levelOpened: {
    id: 2142,
    name: "levelOpened",
    level: "info",
    text: "A gateway of a group may admit a level again; its statements are sent.",
  },
  loadReportInvalid: {
    id: 2143,
    name: "loadReportInvalid",
    level: "warn",
    text: "A gateway reported a load with an impossible age or wait, which is given; the report is ignored.",
  },
  shareReduced: {
    id: 2137,
    name: "gatewayShareReduced",
    level: "info",
    text: "A gateway answers reads more slowly than the other one of its data centre, which now gets part of them.",
  },
  shareRestored: {
    id: 2138,
    name: "gatewayShareRestored",
    level: "info",
    text: "A gateway whose share of reads was reduced gets nearly all of them again.",
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
