import type { Filter } from "../../filter/index.js";
import type { ExchangeResult, Outcome } from "../../model/index.js";
import {
  failUnknown,
  getPlacedConnection,
  refuse,
  type PlacedConnection,
  type ServeContext,
} from "../context.js";

/** The retry delay after a connection broke before anything was sent on it, in milliseconds. */
const brokenRetryMs = 100;

/** Sends the batch on the request's connection. It is the last filter of the chain. */
export const executeFilter: Filter<ServeContext> = {
  name: "execute",
  async apply(context) {
    const placed = getPlacedConnection(context);
    const result = await placed.session.exchange(
      context.messages,
      context.answer.receive,
      context.signal,
    );
    return buildOutcome(placed, result);
  },
};

/** Builds the outcome of an exchange. A request that was sent on a connection that broke may have run. */
export function buildOutcome(placed: PlacedConnection, result: ExchangeResult): Outcome {
  switch (result.type) {
    case "ready":
      return {
        type: "answered",
        status: result.status,
        servedBy: { target: placed.target.name, role: placed.role },
      };
    case "broken":
      if (result.sent) return failUnknown(`${placed.target.name}: ${result.reason}`);
      return refuse("noConnection", brokenRetryMs, `${placed.target.name}: ${result.reason}`);
  }
}
