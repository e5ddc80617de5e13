export {
  unlimitedRateLimiter,
  type RateClaim,
  type RateLimiter,
  type RateReservation,
} from "./limiter.js";
export type { TokenIssuers } from "./issuers.js";
export { TokenRateLimiter, type RateLimiterPorts } from "./token-limiter.js";
export { type RateBounds, strictBounds, type TokenRate, toTokenRate } from "./limits.js";
export { type TokenGrant, TokenPool } from "./pool.js";
export {
  chooseIssuers,
  foundingMs,
  type ListKnowledge,
  maxListingAgeMs,
  RateShares,
  type WeightedProxy,
} from "./shares.js";
