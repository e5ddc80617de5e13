export { composeFilters, type Filter, type Next } from "./chain.js";
