export { createSystemClock } from "./clock.js";
export { createSystemRandom } from "./random.js";
