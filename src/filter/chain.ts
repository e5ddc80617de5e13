import type { Outcome } from "../model/index.js";

/** Runs the rest of the chain and resolves with the request's outcome. */
export type Next<C> = (context: C) => Promise<Outcome>;

/** One step in the processing of a request: it answers it, or calls `next`, perhaps with a changed context. */
export interface Filter<C> {
  readonly name: string;
  apply(context: C, next: Next<C>): Promise<Outcome>;
}

/** Chains filters in order. The last one must answer the request; otherwise the promise rejects. */
export function composeFilters<C>(filters: readonly Filter<C>[]): Next<C> {
  return filters.reduceRight<Next<C>>(
    (next, filter) => (context) => filter.apply(context, next),
    () => Promise.reject(new Error("no filter answered the request")),
  );
}
