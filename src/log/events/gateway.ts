import type { LogEvent } from "../event.js";

/** Events of statements that one node forwards to another. */
export const gatewayEvents = {
  avoided: {
    id: 2120,
    name: "gatewayPassedOver",
    level: "info",
    text: "A gateway could not be reached, fell silent or turned a statement away; others are asked first.",
  },
  statementRefused: {
    id: 2121,
    name: "forwardedStatementRefused",
    level: "info",
    text: "A statement that another node forwarded was turned away, unrun, for the reason given.",
  },
  servedConnectionClosed: {
    id: 2122,
    name: "servedLinkClosed",
    level: "info",
    text: "Another node's connection has ended; its open transactions are rolled back.",
  },
  servedStatementFailed: {
    id: 2123,
    name: "servedStatementBroken",
    level: "error",
    text: "A fault of the program itself ended a statement that another node had forwarded.",
  },
  noGateway: {
    id: 2124,
    name: "noGateway",
    level: "info",
    text: "A statement was refused: no gateway of its group took it. Nothing has run.",
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
