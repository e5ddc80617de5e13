import { declareCells, faults } from "./matrix.js";

// Each cell strikes one fault, or a pair, at one step of a write's way. The caller hears an answer, a
// refusal that did not run, or that it may have run; once all is well again the group must hold the
// row once, never, or either. A keyed write repeated until answered is there exactly once.
declareCells(Object.keys(faults).slice(5, 10));
