export { createSystemClock } from "./clock.js";
export { createSystemRandom } from "./random.js";
export { stopOnSignal } from "./stop-signal.js";
export { startStallTolerantTimer } from "./stall-tolerant-timer.js";
export { ResponseTimes } from "./response-times.js";
export { shuffle } from "./shuffle.js";
