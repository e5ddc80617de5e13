import { declareCells, faults } from "./matrix.js";

// Each cell injects one fault, or two, at one step of a write. The caller is told that the write
// succeeded, did not run, or may have run; once the faults have ended, the group must store the row
// once, never, or either. A keyed write that is repeated until it succeeds is stored exactly once.
declareCells(Object.keys(faults).slice(10, 14));
