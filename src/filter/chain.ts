import type { Outcome } from "../model/index.js";

/** Runs the rest of the chain on a context and gives the request's outcome. */
export type Next<C> = (context: C) => Promise<Outcome>;

/** One step of a request's way: it answers itself, or changes the context and calls `next`. */
export interface Filter<C> {
  readonly name: string;
  apply(context: C, next: Next<C>): Promise<Outcome>;
}

/** Puts filters in order; the last of them must answer. */
export function composeFilters<C>(filters: readonly Filter<C>[]): Next<C> {
  return filters.reduceRight<Next<C>>(
    (next, filter) => (context) => filter.apply(context, next),
    () => Promise.reject(new Error("no filter answered the request")),
  );
}
