import type { Filter } from "../../filter/index.js";
import type { ExchangeResult, Outcome } from "../../model/index.js";
import {
  failUnknown,
  getPlacedConnection,
  refuse,
  type PlacedConnection,
  type ServeContext,
} from "../context.js";

/** When a caller whose connection to a target could not be used may come back, in milliseconds. */
const brokenRetryMs = 100;

/** Runs the batch on the place's connection. It is the chain's last filter. */
export const executeFilter: Filter<ServeContext> = {
  name: "execute",
  async apply(context) {
    const place = getPlacedConnection(context);
    const result = await place.session.exchange(
      context.messages,
      context.answer.receive,
      context.signal,
    );
    return buildOutcome(place, result);
  },
};

/** Builds the outcome of an exchange. */
export function buildOutcome(place: PlacedConnection, result: ExchangeResult): Outcome {
  switch (result.type) {
    case "ready":
      return {
        type: "answered",
        status: result.status,
        servedBy: { target: place.target.name, role: place.role },
      };
    case "broken":
      if (result.sent) return failUnknown(`${place.target.name}: ${result.reason}`);
      return refuse("noConnection", brokenRetryMs, `${place.target.name}: ${result.reason}`);
  }
}
