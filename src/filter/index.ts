export { composeFilters, type Filter, type Next } from "./chain.js";
export { isIdempotent, Retrier, type RetryOperation } from "./retry.js";
