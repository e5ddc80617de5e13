import type { LogEvent } from "../event.js";

/** Events of the rate limits of teams. */
export const rateEvents = {
  overRate: {
    id: 4050,
    name: "teamOverRate",
    level: "info",
    text: "The proxy refused an operation because its team has reached its rate.",
  },
} as const satisfies Readonly<Record<string, LogEvent>>;
